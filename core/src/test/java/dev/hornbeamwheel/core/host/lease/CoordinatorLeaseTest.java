package dev.hornbeamwheel.core.host.lease;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.model.HostId;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** There is at most one coordinator at any time, and a lost coordinator is replaced soon. */
final class CoordinatorLeaseTest {
  private static final long RUN_MILLIS = 30_000;

  /** The lease duration, the delay of an acquisition and the store calls of both. */
  private static final long MAX_FAILOVER_MILLIS = 2_000;

  /** At most two acquisition attempts and their store calls. */
  private static final long MAX_HAND_OVER_MILLIS = 400;

  /** The store calls of a renewal and of the release after it. */
  private static final long MAX_RELEASE_MILLIS = 50;

  @Property(tries = 60, seed = "2026120401")
  void atMostOneHostHoldsTheLeaseDespiteLostResponsesAndSuspensions(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    LeaseWorld simulation = new LeaseWorld(5, seed, 0.3);

    assertThat(simulation.run(RUN_MILLIS)).isLessThanOrEqualTo(1);
  }

  // Guards against a second coordinator, and a term of two hosts, after the lease row was lost: the
  // row of an earlier holder is back, or a late write of an earlier era lands on a later row.
  @Property(tries = 200, seed = "2026120601")
  void atMostOneHostHoldsTheLeaseAndEachTermWhenTheStoreIsRestored(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    LeaseWorld simulation =
        new LeaseWorld(5, seed, 0.3).withRestores(0.002).withHandOvers(0.0005, 600);

    assertThat(simulation.run(RUN_MILLIS)).isLessThanOrEqualTo(1);
    assertThat(simulation.termsOfTwoHosts).isZero();
    assertThat(simulation.restores).isPositive();
  }

  // Guards against a coordinator that loses its lease because the store was restored.
  @Test
  void theCoordinatorContinuesWhenTheStoreIsRestored() {
    LeaseWorld simulation = new LeaseWorld(25, 1, 0);
    simulation.run(5_000);
    simulation.leaderlessMillis = 0;

    simulation.withRestores(0.001).run(RUN_MILLIS);

    assertThat(simulation.restores).isPositive();
    assertThat(simulation.acquisitions).isEqualTo(1);
    assertThat(simulation.leaderlessMillis).isZero();
  }

  @Test
  void theFirstHostAcquiresTheLeaseOnceAndKeepsItWithoutFaults() {
    LeaseWorld simulation = new LeaseWorld(25, 1, 0);

    assertThat(simulation.run(RUN_MILLIS)).isEqualTo(1);
    assertThat(simulation.acquisitions).isEqualTo(1);
  }

  @Test
  void aCrashedCoordinatorIsReplacedWhenItsLeaseExpires() {
    LeaseWorld simulation = new LeaseWorld(25, 2, 0);
    simulation.run(5_000);
    simulation.crashLeader();
    simulation.leaderlessMillis = 0;

    simulation.run(10_000);

    assertThat(simulation.acquisitions).isEqualTo(2);
    assertThat(simulation.leaderlessMillis).isLessThanOrEqualTo(MAX_FAILOVER_MILLIS);
  }

  @Test
  void renewalsWithoutAResponseDoNotEndTheTerm() {
    LeaseWorld simulation = new LeaseWorld(3, 3, 0.15);

    simulation.run(3_000);
    int before = simulation.acquisitions;
    simulation.run(10_000);

    assertThat(simulation.acquisitions - before).isLessThanOrEqualTo(4);
  }

  @Test
  void theLeaseIsAcquiredAgainWhenTheStoreRecovers() {
    LeaseWorld simulation = new LeaseWorld(5, 4, 0);
    simulation.run(5_000);
    simulation.setStoreUnavailable(true);
    simulation.run(5_000);
    simulation.setStoreUnavailable(false);
    simulation.leaderlessMillis = 0;

    assertThat(simulation.run(10_000)).isEqualTo(1);
    assertThat(simulation.leaderlessMillis).isLessThanOrEqualTo(MAX_FAILOVER_MILLIS);
  }

  // Guards against a single host that reads its own expired row and neither uses it nor
  // acquires the lease again.
  @Test
  void theOnlyHostAcquiresItsExpiredLeaseAgain() {
    LeaseWorld simulation = new LeaseWorld(1, 5, 0);
    simulation.run(5_000);
    simulation.setStoreUnavailable(true);
    simulation.run(5_000);
    simulation.setStoreUnavailable(false);
    simulation.leaderlessMillis = 0;

    assertThat(simulation.run(10_000)).isEqualTo(1);
    assertThat(simulation.leaderlessMillis).isLessThanOrEqualTo(MAX_FAILOVER_MILLIS);
  }

  // Guards against a delayed hand-over write that expires a lease which its writer uses again.
  @Property(tries = 60, seed = "2026120414")
  void atMostOneHostHoldsTheLeaseWhileItIsHandedOver(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    LeaseWorld simulation = new LeaseWorld(5, seed, 0.3).withHandOvers(0.01, 600);

    assertThat(simulation.run(RUN_MILLIS)).isLessThanOrEqualTo(1);
  }

  @Test
  void aLeaseThatIsHandedOverIsAcquiredImmediately() {
    LeaseWorld simulation = new LeaseWorld(25, 6, 0).withHandOvers(0.001, 600);

    simulation.run(RUN_MILLIS);

    assertThat(simulation.acquisitions).isGreaterThan(3);
    assertThat(simulation.leaderlessMillis / simulation.acquisitions)
        .isLessThanOrEqualTo(MAX_HAND_OVER_MILLIS);
  }

  // Guards against the reuse of a term whose hand-over write may still be pending: it can
  // expire the row after its writer has read the row as valid.
  @Test
  void aTermWithAHandOverInDoubtIsNeverUsedAgain() {
    CoordinatorLease lease =
        CoordinatorLease.create(HostId.of("host-1"), new Address("10.0.0.1", 80), 1);
    lease.acquire(0);
    lease.tick(200);
    LeaseEffect.Write acquisition =
        (LeaseEffect.Write)
            lease
                .readCompleted(200, new LeaseRead(Optional.empty(), StoreVersion.ofEraZero(0), 200))
                .get(0);
    lease.writeCompleted(200, new LeaseWrite.Written(StoreVersion.ofEraZero(1), 200));
    assertThat(lease.isLeader(200)).isTrue();

    assertThat(lease.handOver(300)).hasSize(2);
    lease.writeCompleted(900, new LeaseWrite.InDoubt());
    lease.acquire(900);
    assertThat(lease.tick(1_100)).containsExactly(new LeaseEffect.Read());
    lease.readCompleted(
        1_100, new LeaseRead(Optional.of(acquisition.row()), StoreVersion.ofEraZero(1), 1_100));

    assertThat(lease.isLeader(1_100)).isFalse();
  }

  // Guards against a fleet that is counted with all hosts that it once had.
  @Test
  void theRowNamesTheLatestNumberOfHosts() {
    CoordinatorLease lease =
        CoordinatorLease.create(HostId.of("host-1"), new Address("10.0.0.1", 80), 1);
    LeaseRow expired =
        new LeaseRow(
            3, HostId.of("host-2"), new Address("10.0.0.2", 80), 0, HostCapacity.unknown(), 140);
    lease.acquire(0);
    lease.tick(200);
    lease.readCompleted(
        200, new LeaseRead(Optional.of(expired), StoreVersion.ofEraZero(1), 10_000));
    lease.writeCompleted(200, new LeaseWrite.Written(StoreVersion.ofEraZero(2), 10_000));
    assertThat(lease.fleetSize()).isEqualTo(140);

    lease.updateFleetSize(20);

    assertThat(lease.tick(800))
        .singleElement()
        .matches(effect -> ((LeaseEffect.Write) effect).row().fleetSize() == 20);
  }

  // Guards against a host that stops and uses the lease again, or another one's, when a call that
  // was under way ends.
  @Property(tries = 100, seed = "2026120701")
  void atMostOneHostHoldsTheLeaseWhileHostsStop(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    LeaseWorld simulation =
        new LeaseWorld(30, seed, 0.3).withHandOvers(0.0005, 600).withStops(0.0002);

    assertThat(simulation.run(RUN_MILLIS)).isLessThanOrEqualTo(1);
    assertThat(simulation.termsOfTwoHosts).isZero();
  }

  // Guards against a lease that stays held until it expires, as it was released while a renewal was
  // under way: the release lost against the renewal.
  @Test
  void aLeaseThatIsReleasedDuringARenewalIsFreeSoon() {
    LeaseWorld simulation = new LeaseWorld(5, 7, 0);
    simulation.run(5_000);
    while (!simulation.leaderCalls()) {
      simulation.run(5);
    }
    simulation.stopLeader();

    simulation.run(MAX_RELEASE_MILLIS);

    assertThat(simulation.leaseFree()).isTrue();
  }
}
