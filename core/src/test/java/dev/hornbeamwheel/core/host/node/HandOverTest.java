package dev.hornbeamwheel.core.host.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** The lease moves to a strong host once, and stays where it is among equal hosts. */
final class HandOverTest {
  private static final int WEAK = 210;
  private static final int STRONG = 1_500;

  /** Time limit for the lease to expire and for all hosts to connect to the next coordinator. */
  private static final long TAKEOVER_MILLIS = 2_500;

  /** Time limit for all hosts to connect to the next coordinator after a handover. */
  private static final long HAND_OVER_MILLIS = 1_500;

  private static final long SETTLED_MILLIS = 15_000;

  /** Starts weak and strong hosts in random order. */
  private static HostSimulation startMixed(
      long seed, int weak, int strong, long startIntervalMillis) {
    HostSimulation simulation = new HostSimulation(seed);
    List<Integer> capacities = new ArrayList<>(Collections.nCopies(weak, WEAK));
    capacities.addAll(Collections.nCopies(strong, STRONG));
    Collections.shuffle(capacities, new Random(seed));
    capacities.forEach(
        capacity -> {
          simulation.startHost(capacity);
          simulation.run(startIntervalMillis);
        });
    return simulation;
  }

  // Guards against a lease that stays with the first host to write it, which is often too weak to
  // coordinate a large fleet.
  @Property(tries = 25, seed = "2026120412")
  void aStrongHostEndsUpCoordinatingWhoeverStartsFirst(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    HostSimulation simulation = startMixed(seed, 20, 2, seed % 3 * 150);

    simulation.run(SETTLED_MILLIS);

    assertThat(simulation.coordinatorCapacity()).isEqualTo(STRONG);
    assertThat(simulation.runUntilConnected(HAND_OVER_MILLIS)).isLessThan(HAND_OVER_MILLIS);
    assertThat(simulation.leaseWins).isLessThanOrEqualTo(2);
  }

  // Guards against a newly started weak host that takes the lease meant for a strong one.
  @Test
  void aHostThatStartsDuringAHandOverLeavesTheLeaseToStrongOnes() {
    HostSimulation simulation = startMixed(38, 20, 2, 300);

    simulation.run(SETTLED_MILLIS);

    assertThat(simulation.coordinatorCapacity()).isEqualTo(STRONG);
    assertThat(simulation.leaseWins).isEqualTo(2);
  }

  @Test
  void aStrongHostThatJoinsLaterGetsTheLeaseOnce() {
    HostSimulation simulation = startMixed(1, 10, 0, 25);
    simulation.run(SETTLED_MILLIS);
    simulation.startHost(STRONG);

    simulation.run(SETTLED_MILLIS);
    int winsBefore = simulation.leaseWins;
    simulation.run(10 * SETTLED_MILLIS);

    assertThat(simulation.coordinatorCapacity()).isEqualTo(STRONG);
    assertThat(winsBefore).isEqualTo(2);
    assertThat(simulation.leaseWins).isEqualTo(winsBefore);
  }

  @Test
  void anotherStrongHostReplacesACrashedOne() {
    HostSimulation simulation = startMixed(2, 20, 3, 25);
    simulation.run(SETTLED_MILLIS);
    int winsBefore = simulation.leaseWins;
    simulation.crash(simulation.coordinatingHost());

    assertThat(simulation.runUntilConnected(TAKEOVER_MILLIS)).isLessThan(TAKEOVER_MILLIS);

    assertThat(simulation.coordinatorCapacity()).isEqualTo(STRONG);
    assertThat(simulation.leaseWins).isEqualTo(winsBefore + 1);
  }

  // Guards against weak hosts that wait for strong hosts although all of these have crashed.
  @Property(tries = 25, seed = "2026120413")
  void aWeakHostTakesOverWhenAllStrongOnesCrash(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    HostSimulation simulation = startMixed(seed, 20, 3, 25);
    simulation.run(SETTLED_MILLIS);
    simulation.crashStrongHosts(STRONG);

    long limit = TAKEOVER_MILLIS + LeaseCandidacy.WEAK_HOST_DELAY_MILLIS;
    assertThat(simulation.runUntilConnected(limit)).isLessThan(limit);
    assertThat(simulation.coordinatorCapacity()).isEqualTo(WEAK);
  }

  @Test
  void equalHostsKeepTheirFirstCoordinator() {
    HostSimulation simulation = startMixed(3, 20, 0, 25);

    simulation.run(4 * SETTLED_MILLIS);

    assertThat(simulation.leaseWins).isEqualTo(1);
  }

  @Test
  void equalHostsReplaceACrashedCoordinatorInTime() {
    HostSimulation simulation = startMixed(4, 20, 0, 25);
    simulation.run(SETTLED_MILLIS);
    simulation.crash(simulation.coordinatingHost());

    assertThat(simulation.runUntilConnected(TAKEOVER_MILLIS)).isLessThan(TAKEOVER_MILLIS);
    assertThat(simulation.leaseWins).isEqualTo(2);
  }

  // Guards against weak hosts that keep giving up the lease for a strong host that cannot write it.
  @Test
  void theLeaseIsNotHandedBackAndForthWhenStrongHostsCannotWriteIt() {
    HostSimulation simulation = startMixed(5, 20, 0, 25);
    simulation.refuseLeaseWritesOfStrongHosts();
    simulation.startHost(STRONG);
    simulation.run(SETTLED_MILLIS);
    int winsBefore = simulation.leaseWins;

    simulation.run(LeaseCandidacy.HANDOVER_COOLDOWN_MILLIS / 2);

    assertThat(simulation.coordinatorCapacity()).isEqualTo(WEAK);
    assertThat(simulation.leaseWins).isEqualTo(winsBefore);
  }
}
