package dev.hornbeamwheel.core.host.keys;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests what the results of orders to a previous owner tell about it. */
final class KeyRecallTest {
  private static final KeyRange KEYS = new KeyRange(0, KeyRange.MAX_KEY);
  private static final KeyOwner PREVIOUS = owner("i-1", 1);
  private static final KeyOwner NEXT = owner("i-2", 10);

  private final Catalog catalog = Catalog.empty();
  private final UpstreamFailureDetector detector = new UpstreamFailureDetector();
  private final List<KeyEffect> effects = new ArrayList<>();
  private final KeyRecall recall =
      new KeyRecall(
          catalog,
          detector,
          new GrantHoldTimes(detector, new UnreachableDataCentres(catalog), 10_000),
          new InFlightOrders(),
          new KeyDecisionLog(ServiceId.of("stock-ledger")),
          effects::add);
  private final OwnedRange range =
      OwnedRange.inherited(
              new KeyAssignment(KEYS, PREVIOUS, Optional.empty()),
              GrantTracker.grantedUntil(11_250, 1_050).withTokensUpTo(1))
          .movedTo(
              new KeyAssignment(KEYS, NEXT, Optional.of(PREVIOUS)), FencingTokens.reservedFrom(2));

  private static KeyOwner owner(String id, long fencingToken) {
    return new KeyOwner(
        new UpstreamIncarnation(UpstreamId.of(id), 1), new Address("10.0.0.1", 80), fencingToken);
  }

  // Guards against short holds of an upstream with a long queue, which resets new connections.
  @Test
  void aConnectionThatIsResetIsNoSignOfALostUpstream() {
    recall.advance(0, range);
    assertThat(effects).hasSize(1).first().isInstanceOf(KeyEffect.Grant.class);

    recall.grantEnded(10, range, new OrderResult.NotSent("connection reset"));

    assertThat(detector.failedSinceLastAnswer(PREVIOUS.incarnation())).isFalse();
  }

  @Test
  void anUnansweredGrantIsASignOfALostUpstream() {
    recall.advance(0, range);

    recall.grantEnded(700, range, new OrderResult.Unanswered("no answer"));

    assertThat(detector.failedSinceLastAnswer(PREVIOUS.incarnation())).isTrue();
  }
}
