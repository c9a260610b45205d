package dev.hornbeamwheel.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.RequestId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RoutingReducerTest {
  private final FaultySimulation simulation =
      new FaultySimulation(1, RoutingFaults.NONE, RoutingSimulation.UPSTREAM_COLD_START);

  @Test
  void answersEveryKindOfRequestWithoutFaults() {
    simulation.advance(2_000);
    List<RequestId> requestIds = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      requestIds.add(simulation.lookup(100 + i));
      requestIds.add(simulation.keyed("mill-" + i));
      requestIds.add(simulation.order("order-" + i, TestDeclarations.POOLED));
      requestIds.add(simulation.order("booking-" + i, TestDeclarations.KEYED));
      requestIds.add(simulation.orderWithoutKey());
      simulation.advance(150);
    }
    simulation.advance(3_000);

    assertThat(requestIds)
        .allSatisfy(
            id ->
                assertThat(simulation.history.results.get(id).effect().problem())
                    .as("%s %s", id, simulation.history.results.get(id))
                    .isEqualTo(ProblemKind.NONE));
  }
}
