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

/** A host that can bear it coordinates, and nothing else changes for that. */
final class HandOverTest {
  private static final int WEAK = 210;
  private static final int STRONG = 1_500;

  /** A lease, a challenge and the connections of all hosts. */
  private static final long TAKEOVER_MILLIS = 2_500;

  /** Time from a hand-over until all hosts are connected to the next coordinator. */
  private static final long HAND_OVER_MILLIS = 1_500;

  private static final long SETTLED_MILLIS = 15_000;

  private static HostSimulation mixed(long seed, int weak, int strong, long betweenMillis) {
    HostSimulation world = new HostSimulation(seed);
    List<Integer> capacities = new ArrayList<>(Collections.nCopies(weak, WEAK));
    capacities.addAll(Collections.nCopies(strong, STRONG));
    Collections.shuffle(capacities, new Random(seed));
    capacities.forEach(
        capacity -> {
          world.startHost(capacity);
          world.run(betweenMillis);
        });
    return world;
  }

  // The lease went to whichever host wrote first, mostly one too weak to coordinate a large fleet.
  @Property(tries = 25, seed = "2026120412")
  void aStrongHostEndsUpCoordinatingWhoeverStartsFirst(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    HostSimulation world = mixed(seed, 20, 2, seed % 3 * 150);

    world.run(SETTLED_MILLIS);

    assertThat(world.coordinatorCapacity()).isEqualTo(STRONG);
    assertThat(world.runUntilConnected(HAND_OVER_MILLIS)).isLessThan(HAND_OVER_MILLIS);
    assertThat(world.termsStarted).isLessThanOrEqualTo(2);
  }

  // A weak host that had just started took the lease that was meant for a strong one.
  @Test
  void aHostThatStartsDuringAHandOverLeavesTheLeaseToStrongOnes() {
    HostSimulation world = mixed(38, 20, 2, 300);

    world.run(SETTLED_MILLIS);

    assertThat(world.coordinatorCapacity()).isEqualTo(STRONG);
    assertThat(world.termsStarted).isEqualTo(2);
  }

  @Test
  void aStrongHostThatJoinsLaterGetsTheLeaseOnce() {
    HostSimulation world = mixed(1, 10, 0, 25);
    world.run(SETTLED_MILLIS);
    world.startHost(STRONG);

    world.run(SETTLED_MILLIS);
    int wins = world.termsStarted;
    world.run(10 * SETTLED_MILLIS);

    assertThat(world.coordinatorCapacity()).isEqualTo(STRONG);
    assertThat(wins).isEqualTo(2);
    assertThat(world.termsStarted).isEqualTo(wins);
  }

  @Test
  void anotherStrongHostFollowsALostOne() {
    HostSimulation world = mixed(2, 20, 3, 25);
    world.run(SETTLED_MILLIS);
    int wins = world.termsStarted;
    world.crash(world.coordinatingHost());

    assertThat(world.runUntilConnected(TAKEOVER_MILLIS)).isLessThan(TAKEOVER_MILLIS);

    assertThat(world.coordinatorCapacity()).isEqualTo(STRONG);
    assertThat(world.termsStarted).isEqualTo(wins + 1);
  }

  // Weak hosts must not wait for strong ones that are all lost.
  @Property(tries = 25, seed = "2026120413")
  void aWeakHostTakesOverWhenAllStrongOnesAreLost(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    HostSimulation world = mixed(seed, 20, 3, 25);
    world.run(SETTLED_MILLIS);
    world.crashStrongHosts(STRONG);

    long limit = TAKEOVER_MILLIS + HostNode.WEAK_HOST_DELAY_MILLIS;
    assertThat(world.runUntilConnected(limit)).isLessThan(limit);
    assertThat(world.coordinatorCapacity()).isEqualTo(WEAK);
  }

  @Test
  void equalHostsKeepTheirFirstCoordinator() {
    HostSimulation world = mixed(3, 20, 0, 25);

    world.run(4 * SETTLED_MILLIS);

    assertThat(world.termsStarted).isEqualTo(1);
  }

  @Test
  void equalHostsReplaceALostCoordinatorAsFastAsBefore() {
    HostSimulation world = mixed(4, 20, 0, 25);
    world.run(SETTLED_MILLIS);
    world.crash(world.coordinatingHost());

    assertThat(world.runUntilConnected(TAKEOVER_MILLIS)).isLessThan(TAKEOVER_MILLIS);
    assertThat(world.termsStarted).isEqualTo(2);
  }

  // A strong host that cannot write the lease must not make weak ones give theirs up for ever.
  @Test
  void theLeaseIsNotHandedBackAndForthWhenStrongHostsCannotWriteIt() {
    HostSimulation world = mixed(5, 20, 0, 25);
    world.refuseLeaseWritesOfStrongHosts();
    world.startHost(STRONG);
    world.run(SETTLED_MILLIS);
    int wins = world.termsStarted;

    world.run(HostNode.HANDOVER_COOLDOWN_MILLIS / 2);

    assertThat(world.coordinatorCapacity()).isEqualTo(WEAK);
    assertThat(world.termsStarted).isEqualTo(wins);
  }
}
