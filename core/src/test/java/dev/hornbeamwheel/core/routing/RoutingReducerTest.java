package dev.hornbeamwheel.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.RequestId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RoutingReducerTest {
  private final FaultyWorld world = new FaultyWorld(1, RoutingFaults.NONE, RoutingWorld.BEARS);

  @Test
  void answersEveryKindOfRequestWithoutFaults() {
    world.advance(2_000);
    List<RequestId> asked = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      asked.add(world.lookup(100 + i));
      asked.add(world.keyed("mill-" + i));
      asked.add(world.order("order-" + i, Catalogue.POOLED));
      asked.add(world.order("booking-" + i, Catalogue.KEYED));
      asked.add(world.orderWithoutKey());
      world.advance(150);
    }
    world.advance(3_000);

    assertThat(asked)
        .allSatisfy(
            id ->
                assertThat(world.ledger.told.get(id).answer().problem())
                    .as("%s %s", id, world.ledger.told.get(id))
                    .isEqualTo(ProblemKind.NONE));
  }
}
