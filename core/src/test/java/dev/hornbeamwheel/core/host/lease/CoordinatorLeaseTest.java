package dev.hornbeamwheel.core.host.lease;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.model.HostId;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** One coordinator at most at any instant; soon another one when it is lost. */
final class CoordinatorLeaseTest {
  private static final long RUN_MILLIS = 30_000;

  /** A lease, a challenge and the calls that both need. */
  private static final long TAKEOVER_MILLIS = 2_000;

  /** A challenge, at most twice, and the calls that it needs. */
  private static final long HAND_OVER_MILLIS = 400;

  @Property(tries = 60, seed = "2026120401")
  void atMostOneHostHoldsTheLeaseUnderLostAnswersAndSuspensions(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    LeaseWorld world = new LeaseWorld(5, seed, 0.3);

    assertThat(world.run(RUN_MILLIS)).isLessThanOrEqualTo(1);
  }

  @Test
  void theFirstHostWinsOnceAndKeepsTheLeaseOnACalmDay() {
    LeaseWorld world = new LeaseWorld(25, 1, 0);

    assertThat(world.run(RUN_MILLIS)).isEqualTo(1);
    assertThat(world.wins).isEqualTo(1);
  }

  @Test
  void aLostCoordinatorIsReplacedWithinItsLease() {
    LeaseWorld world = new LeaseWorld(25, 2, 0);
    world.run(5_000);
    world.killLeader();
    world.leaderlessMillis = 0;

    world.run(10_000);

    assertThat(world.wins).isEqualTo(2);
    assertThat(world.leaderlessMillis).isLessThanOrEqualTo(TAKEOVER_MILLIS);
  }

  @Test
  void renewalsWithoutAnAnswerDoNotEndTheTerm() {
    LeaseWorld world = new LeaseWorld(3, 3, 0.15);

    world.run(3_000);
    int before = world.wins;
    world.run(10_000);

    assertThat(world.wins - before).isLessThanOrEqualTo(4);
  }

  @Test
  void theLeaseIsTakenAgainWhenTheStoreReturns() {
    LeaseWorld world = new LeaseWorld(5, 4, 0);
    world.run(5_000);
    world.storeAway(true);
    world.run(5_000);
    world.storeAway(false);
    world.leaderlessMillis = 0;

    assertThat(world.run(10_000)).isEqualTo(1);
    assertThat(world.leaderlessMillis).isLessThanOrEqualTo(TAKEOVER_MILLIS);
  }

  // The only host saw its own lapsed row, and neither counted on it nor took the lease anew.
  @Test
  void theOnlyHostTakesItsLapsedLeaseAgain() {
    LeaseWorld world = new LeaseWorld(1, 5, 0);
    world.run(5_000);
    world.storeAway(true);
    world.run(5_000);
    world.storeAway(false);
    world.leaderlessMillis = 0;

    assertThat(world.run(10_000)).isEqualTo(1);
    assertThat(world.leaderlessMillis).isLessThanOrEqualTo(TAKEOVER_MILLIS);
  }

  // A hand-over whose write comes late must not end a lease that its writer counts on again.
  @Property(tries = 60, seed = "2026120414")
  void atMostOneHostHoldsTheLeaseWhileItIsHandedOver(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    LeaseWorld world = new LeaseWorld(5, seed, 0.3).withHandOvers(0.01, 600);

    assertThat(world.run(RUN_MILLIS)).isLessThanOrEqualTo(1);
  }

  @Test
  void aLeaseThatIsHandedOverIsTakenAtOnce() {
    LeaseWorld world = new LeaseWorld(25, 6, 0).withHandOvers(0.001, 600);

    world.run(RUN_MILLIS);

    assertThat(world.wins).isGreaterThan(3);
    assertThat(world.leaderlessMillis / world.wins).isLessThanOrEqualTo(HAND_OVER_MILLIS);
  }

  // The write of a hand-over can end the row after its writer has read the row as valid.
  @Test
  void aTermWhoseHandOverIsInDoubtIsNeverCountedOnAgain() {
    CoordinatorLease lease =
        CoordinatorLease.create(HostId.of("host-1"), new Address("10.0.0.1", 80), 1);
    lease.acquire(0);
    lease.tick(200);
    LeaseEffect.Write won =
        (LeaseEffect.Write)
            lease.readCompleted(200, new LeaseRead(Optional.empty(), 0, 200)).get(0);
    lease.writeCompleted(200, new LeaseWrite.Written(1, 200));
    assertThat(lease.isLeader(200)).isTrue();

    assertThat(lease.handOver(300)).hasSize(2);
    lease.writeCompleted(900, new LeaseWrite.InDoubt());
    lease.acquire(900);
    assertThat(lease.tick(1_100)).containsExactly(new LeaseEffect.Read());
    lease.readCompleted(1_100, new LeaseRead(Optional.of(won.row()), 1, 1_100));

    assertThat(lease.isLeader(1_100)).isFalse();
  }
}
