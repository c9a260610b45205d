package dev.hornbeamwheel.core.host.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Keyed requests at a coordinator that has lost its lease, without a stop. */
final class LeaselessCoordinatorTest {
  /** Longer than the grants of the last term can last, in milliseconds. */
  private static final long OUTAGE_MILLIS = 20_000;

  private static final long DEADLINE_MILLIS = 8_000;

  /** Time in which a request that can't be served is refused, in milliseconds. */
  private static final long REFUSAL_MILLIS = 200;

  /** Time from the return of the store until all keys are granted, in milliseconds. */
  private static final long RECOVERY_MILLIS = 4_000;

  /** Guards against keyed requests that wait to their deadlines for keys which none can grant. */
  @Test
  void keyedRequestsAreRefusedAtOnceWhileNoHostCanHoldTheLease() {
    StoppingFleet fleet = new StoppingFleet(3, 1);
    fleet.simulation.store.available = false;
    fleet.runFor(OUTAGE_MILLIS);

    List<HostSimulation.Host> hosts = fleet.simulation.runningHosts();
    hosts.forEach(host -> fleet.arriveWithKey(host, "lookup", DEADLINE_MILLIS));
    fleet.runFor(REFUSAL_MILLIS);

    assertThat(fleet.arrivals).hasSize(hosts.size());
    assertThat(fleet.waiting()).isEmpty();
  }

  /** Guards against refusals that outlast the outage. */
  @Test
  void keyedRequestsAreServedSoonAfterTheStoreReturns() {
    StoppingFleet fleet = new StoppingFleet(3, 2);
    fleet.simulation.store.available = false;
    fleet.runFor(OUTAGE_MILLIS);
    fleet.simulation.store.available = true;
    fleet.runFor(RECOVERY_MILLIS);

    fleet
        .simulation
        .runningHosts()
        .forEach(host -> fleet.arriveWithKey(host, "lookup", DEADLINE_MILLIS));
    fleet.runFor(REFUSAL_MILLIS);

    assertThat(fleet.sent).hasSameSizeAs(fleet.arrivals);
  }
}
