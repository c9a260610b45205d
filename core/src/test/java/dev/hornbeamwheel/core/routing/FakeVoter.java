package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.claims.ClaimEffect;
import dev.hornbeamwheel.core.claims.ClaimEvent;
import dev.hornbeamwheel.core.claims.ClaimReducer;
import dev.hornbeamwheel.core.claims.ClaimVoter;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.function.BiConsumer;

/** A controller process that stores idempotency claims. */
final class FakeVoter {
  final ClaimVoter voter;
  private final ClaimReducer reducer;
  private final BiConsumer<FakeVoter, ClaimEffect.Send> sender;
  boolean alive = true;

  FakeVoter(int number, long incarnation, BiConsumer<FakeVoter, ClaimEffect.Send> sender) {
    this.voter = new ClaimVoter(MemberId.of("voter-" + number), Incarnation.of(incarnation));
    this.reducer = ClaimReducer.create(voter);
    this.sender = sender;
  }

  void feed(ClaimEvent event) {
    if (alive) {
      reducer.reduce(event).forEach(e -> sender.accept(this, (ClaimEffect.Send) e));
    }
  }
}
