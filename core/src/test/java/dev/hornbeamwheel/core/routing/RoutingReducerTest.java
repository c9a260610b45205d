package dev.hornbeamwheel.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.RequestId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RoutingReducerTest {
  private final FaultySimulation world =
      new FaultySimulation(1, RoutingFaults.NONE, RoutingSimulation.UPSTREAM_COLD_START);

  @Test
  void answersEveryKindOfRequestWithoutFaults() {
    world.advance(2_000);
    List<RequestId> asked = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      asked.add(world.lookup(100 + i));
      asked.add(world.keyed("mill-" + i));
      asked.add(world.order("order-" + i, TestDeclarations.POOLED));
      asked.add(world.order("booking-" + i, TestDeclarations.KEYED));
      asked.add(world.orderWithoutKey());
      world.advance(150);
    }
    world.advance(3_000);

    assertThat(asked)
        .allSatisfy(
            id ->
                assertThat(world.history.results.get(id).answer().problem())
                    .as("%s %s", id, world.history.results.get(id))
                    .isEqualTo(ProblemKind.NONE));
  }
}
