package dev.hornbeamwheel.core.host.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a flood of cold upstreams by a fleet whose coordinators end or stand still, whose
 * hosts restart or stand still, and whose store goes away, in any order.
 */
final class ColdUpstreamFuzzTest {
  private static final int[] HOSTS = {3, 20, 95, 144};
  private static final int UPSTREAMS = 40;
  private static final int REQUESTS_PER_SECOND = 250;
  private static final int CHANGES = 25;
  private static final long SETTLE_MILLIS = 8_000;
  private static final int MAX_GAP_MILLIS = 900;

  static LongStream seeds() {
    long first = Long.getLong("fuzz.seed", 1);
    return LongStream.range(first, first + Integer.getInteger("fuzz.tries", 12));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void coldUpstreamsStayWithinTheirBound(long seed) {
    int hosts = HOSTS[(int) (seed % HOSTS.length)];
    ColdFleet fleet = new ColdFleet(seed, hosts, UPSTREAMS, REQUESTS_PER_SECOND);
    List<HostSimulation.Host> frozen = new ArrayList<>();
    fleet.run(SETTLE_MILLIS);

    for (int change = 0; change < CHANGES; change++) {
      change(fleet, frozen);
      fleet.run(fleet.random.nextInt(MAX_GAP_MILLIS));
    }

    assertThat((double) fleet.mostInOneSecond()).isLessThanOrEqualTo(ColdFleet.MAX_PER_SECOND);
  }

  private static void change(ColdFleet fleet, List<HostSimulation.Host> frozen) {
    switch (fleet.random.nextInt(8)) {
      case 0, 1, 2 -> fleet.turnCold(fleet.random.nextDouble());
      case 3 -> fleet.simulation.coordinators().forEach(fleet.simulation::restart);
      case 4 -> freeze(frozen, fleet.simulation.coordinators());
      case 5 -> freeze(frozen, fleet.someHosts(fleet.random.nextDouble()));
      case 6 -> fleet.someHosts(fleet.random.nextDouble()).forEach(fleet.simulation::restart);
      default -> fleet.simulation.store.available = !fleet.simulation.store.available;
    }
    if (fleet.random.nextBoolean()) {
      frozen.forEach(HostSimulation.Host::thaw);
      frozen.clear();
    }
  }

  private static void freeze(List<HostSimulation.Host> frozen, List<HostSimulation.Host> hosts) {
    hosts.forEach(HostSimulation.Host::freeze);
    frozen.addAll(hosts);
  }
}
