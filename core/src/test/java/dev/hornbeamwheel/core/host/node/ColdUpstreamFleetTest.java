package dev.hornbeamwheel.core.host.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What cold upstreams get from a large fleet, summed over all hosts, in virtual time. */
final class ColdUpstreamFleetTest {
  private static final int UPSTREAMS = 60;
  private static final int REQUESTS_PER_SECOND = 300;

  /** Time in which a fleet settles after its start, in milliseconds. */
  private static final long SETTLE_MILLIS = 8_000;

  /** Share of their rate at which cold upstreams count as used. */
  private static final double NEAR = 0.75;

  private static final long LOST_MILLIS = 6_000;
  private static final long FROZEN_MILLIS = 3_000;

  private static ColdFleet settledFleet(long seed, int hosts) {
    ColdFleet fleet = new ColdFleet(seed, hosts, UPSTREAMS, REQUESTS_PER_SECOND);
    fleet.run(SETTLE_MILLIS);
    return fleet;
  }

  /**
   * Guards against a cold upstream that is flooded because each host without a coordinator sends it
   * a first request at once.
   */
  @ParameterizedTest
  @CsvSource({"1, 20, 1", "2, 95, 0.5", "3, 95, 1", "4, 144, 0.5", "5, 144, 1"})
  void coldUpstreamsStayWithinTheirBoundWhileTheCoordinatorIsLost(
      long seed, int hosts, double share) {
    ColdFleet fleet = settledFleet(seed, hosts);

    fleet.turnCold(share);
    fleet.run(400);
    fleet.simulation.crash(fleet.simulation.coordinatingHost());
    fleet.run(LOST_MILLIS);

    assertThat((double) fleet.mostInOneSecond()).isLessThanOrEqualTo(ColdFleet.MAX_PER_SECOND);
  }

  /** Guards against a flood of a cold upstream by hosts that have all just started. */
  @ParameterizedTest
  @CsvSource({"11, 20", "12, 95", "13, 144"})
  void coldUpstreamsStayWithinTheirBoundAfterAllHostsRestart(long seed, int hosts) {
    ColdFleet fleet = settledFleet(seed, hosts);

    fleet.turnCold(1);
    fleet.run(300);
    List.copyOf(fleet.simulation.runningHosts()).forEach(fleet.simulation::restart);
    fleet.run(300);
    fleet.someHosts(0.5).forEach(fleet.simulation::restart);
    fleet.run(LOST_MILLIS);

    assertThat((double) fleet.mostInOneSecond()).isLessThanOrEqualTo(ColdFleet.MAX_PER_SECOND);
  }

  /**
   * Guards against a flood of a cold upstream by a coordinator that was suspended, its successor
   * and the hosts between the two.
   */
  @ParameterizedTest
  @CsvSource({"21, 20", "22, 95", "23, 144"})
  void coldUpstreamsStayWithinTheirBoundWhileTheCoordinatorIsSuspended(long seed, int hosts) {
    ColdFleet fleet = settledFleet(seed, hosts);
    HostSimulation.Host coordinator = fleet.simulation.coordinatingHost();

    fleet.turnCold(1);
    fleet.run(300);
    coordinator.freeze();
    fleet.run(FROZEN_MILLIS);
    fleet.turnCold(1);
    coordinator.thaw();
    fleet.run(LOST_MILLIS);

    assertThat((double) fleet.mostInOneSecond()).isLessThanOrEqualTo(ColdFleet.MAX_PER_SECOND);
  }

  /**
   * Guards against a flood of a cold upstream by late grants that many suspended hosts receive at
   * once.
   */
  @ParameterizedTest
  @CsvSource({"31, 20", "32, 95", "33, 144"})
  void coldUpstreamsStayWithinTheirBoundWhenSuspendedHostsContinue(long seed, int hosts) {
    ColdFleet fleet = settledFleet(seed, hosts);

    fleet.turnCold(1);
    fleet.run(600);
    List<HostSimulation.Host> suspended = fleet.someHosts(0.6);
    suspended.remove(fleet.simulation.coordinatingHost());
    suspended.forEach(HostSimulation.Host::freeze);
    fleet.run(FROZEN_MILLIS - 600);
    fleet.turnCold(1);
    fleet.run(1_000);
    suspended.forEach(HostSimulation.Host::thaw);
    fleet.run(LOST_MILLIS);

    assertThat((double) fleet.mostInOneSecond()).isLessThanOrEqualTo(ColdFleet.MAX_PER_SECOND);
  }

  /** Guards against a flood of a cold upstream while no host can acquire the lease. */
  @ParameterizedTest
  @CsvSource({"41, 20", "42, 95", "43, 144"})
  void coldUpstreamsStayWithinTheirBoundWhileTheStoreIsAway(long seed, int hosts) {
    ColdFleet fleet = settledFleet(seed, hosts);

    fleet.simulation.store.available = false;
    fleet.run(500);
    fleet.turnCold(1);
    fleet.run(200);
    fleet.simulation.crash(fleet.simulation.coordinatingHost());
    fleet.run(2_000);
    fleet.simulation.store.available = true;
    fleet.turnCold(1);
    fleet.run(LOST_MILLIS);

    assertThat((double) fleet.mostInOneSecond()).isLessThanOrEqualTo(ColdFleet.MAX_PER_SECOND);
  }

  /** Guards against cold upstreams that stand idle though they are all that there is. */
  @ParameterizedTest
  @CsvSource({"51, 20", "52, 95", "53, 144"})
  void coldUpstreamsServeNearTheirRateWithoutACoordinator(long seed, int hosts) {
    ColdFleet fleet = settledFleet(seed, hosts);

    fleet.simulation.store.available = false;
    fleet.simulation.crash(fleet.simulation.coordinatingHost());
    fleet.run(1_000);
    fleet.turnCold(1);
    long from = fleet.simulation.nowMillis();
    fleet.run(ColdFleet.COLD_MILLIS);

    double atTheirRate = UPSTREAMS * ColdFleet.COLD_PER_SECOND * ColdFleet.COLD_MILLIS / 1_000;
    assertThat((double) fleet.coldSends(from, from + ColdFleet.COLD_MILLIS))
        .isGreaterThanOrEqualTo(NEAR * atTheirRate);
  }

  /** Guards against hosts that refuse what they could serve because they have just started. */
  @ParameterizedTest
  @CsvSource({"61, 20", "62, 95"})
  void hostsThatHaveJustStartedUseWarmUpstreams(long seed, int hosts) {
    ColdFleet fleet = settledFleet(seed, hosts);

    fleet.simulation.store.available = false;
    List.copyOf(fleet.simulation.runningHosts()).forEach(fleet.simulation::restart);
    int sendsBefore = fleet.sends;
    fleet.run(1_000);

    assertThat(fleet.sends - sendsBefore).isGreaterThanOrEqualTo(REQUESTS_PER_SECOND / 2);
  }
}
