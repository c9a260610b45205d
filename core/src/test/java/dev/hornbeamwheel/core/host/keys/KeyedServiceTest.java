package dev.hornbeamwheel.core.host.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** One owner of a key at any time, and keys that find an owner again. */
final class KeyedServiceTest {
  private static final int UPSTREAMS = 9;

  @Property(tries = 80, seed = "2026120402")
  void neverTwoHoldersUnderLossesCutsRestartsAndNewTerms(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, seed);
    world.lossRate = 0.1;
    int most = world.run(4_000);
    Random random = new Random(seed);
    for (int i = 0; i < 12; i++) {
      disturb(world, random);
      most = Math.max(most, world.run(random.nextInt(3_000)));
    }

    assertThat(most).isLessThanOrEqualTo(1);
  }

  private static void disturb(KeyedServiceSimulation world, Random random) {
    int place = random.nextInt(UPSTREAMS);
    FakeUpstream holder = world.upstreams.get(random.nextInt(world.upstreams.size()));
    switch (random.nextInt(6)) {
      case 0 -> world.startUpstream(place);
      case 1 -> holder.unreachable = !holder.unreachable;
      case 2 -> world.drain(holder);
      case 3 -> world.replaceCoordinator();
      case 4 -> world.storeUnavailable = !world.storeUnavailable;
      default -> busyKeys(world, random.nextInt(KeyRange.MAX_KEY - 100));
    }
  }

  private static void busyKeys(KeyedServiceSimulation world, int first) {
    for (int i = 0; i < 120; i++) {
      world.demand.add(world.nowMillis, first + i % 40);
    }
  }

  @Property(tries = 40, seed = "2026120403")
  void neverTwoHoldersWhileABusyCoordinatorResetsCallsLate(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, seed);
    int most = world.run(4_000);
    world.lossRate = 0.3;
    world.maxResetDelayMillis = 1_200;
    Random random = new Random(seed);
    for (int i = 0; i < 8; i++) {
      FakeUpstream holder = world.upstreams.get(random.nextInt(world.upstreams.size()));
      holder.unreachable = !holder.unreachable;
      busyKeys(world, random.nextInt(KeyRange.MAX_KEY - 100));
      most = Math.max(most, world.run(random.nextInt(4_000)));
    }

    assertThat(most).isLessThanOrEqualTo(1);
  }

  @Test
  void everyKeyFindsAnOwnerSoonAfterTheStart() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 1);

    world.run(KeyedService.INITIAL_OWNERS_DELAY_MILLIS + 1_000);

    assertThat(world.heldFraction()).isEqualTo(1);
    assertThat(world.moves).isZero();
  }

  @Test
  void theKeysOfARestartedUpstreamAreServedAgainWithinASecond() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 2);
    world.run(5_000);

    world.startUpstream(0);
    world.service().upstreamsChanged();
    world.run(1_000);

    assertThat(world.heldFraction()).isEqualTo(1);
  }

  @Test
  void theKeysOfADrainingUpstreamAreHandedOverWithinASecond() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 3);
    world.run(5_000);
    FakeUpstream leaving = world.upstreams.get(0);

    world.drain(leaving);
    world.run(1_000);

    assertThat(leaving.holds(world.nowMillis, 17)).isFalse();
    assertThat(world.heldFraction()).isEqualTo(1);
  }

  @Test
  void theKeysOfALostUpstreamAreGrantedAgainWhenItsHoldHasRunOut() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 4);
    world.run(5_000);
    world.upstreams.get(0).up = false;

    world.run(
        GrantTracker.latestExpiryMillis(
                KeyedService.RENEWAL_INTERVAL_MILLIS, KeyedService.HOLD_MILLIS)
            + 1_000);

    assertThat(world.heldFraction()).isEqualTo(1);
  }

  @Test
  void keysStayHeldWhileTheStoreIsAwayForNineSeconds() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 5);
    world.run(5_000);
    world.storeUnavailable = true;
    world.run(1_000);
    KeyedService stopped = world.service();
    assertThat(stopped.loaded()).isTrue();

    assertThat(world.heldFraction()).isEqualTo(1);
  }

  @Test
  void manyMovesOfWanderingBusyKeysLeaveFewRanges() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 8);
    world.run(5_000);
    Random random = new Random(8);

    for (int i = 0; i < 60; i++) {
      busyKeys(world, random.nextInt(KeyRange.MAX_KEY - 100));
      world.run(1_000);
    }
    world.run(10_000);

    assertThat(world.moves).isGreaterThan(UPSTREAMS);
    assertThat(world.service().assignments().size()).isLessThanOrEqualTo(8 * UPSTREAMS);
    assertThat(world.heldFraction()).isEqualTo(1);
  }

  @Test
  void aRefusedReleaseDoesNotFreeKeys() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 7);
    int most = world.run(5_000);
    FakeUpstream failing = world.upstreams.get(0);
    failing.refusing = true;
    world.drain(failing);

    most = Math.max(most, world.run(8_000));

    assertThat(most).isEqualTo(1);
    assertThat(world.heldFraction()).isEqualTo(1);
  }

  @Test
  void aNewTermGoesOnWithTheSameOwners() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 6);
    world.run(5_000);

    world.replaceCoordinator();
    world.run(3_000);

    assertThat(world.heldFraction()).isEqualTo(1);
    assertThat(world.moves).isZero();
  }

  @Test
  void noRequestGoesToAnOwnerWhoseGrantLapsedWhileAllHostsWereLost() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 9);
    world.run(5_000);
    world.restartAllHosts(10_000);

    long wrong = 0;
    for (int i = 0; i < 100; i++) {
      world.run(10);
      wrong = Math.max(wrong, world.staleHolders());
    }

    assertThat(wrong).isZero();
    assertThat(world.heldFraction()).isEqualTo(1);
  }

  // A hand-over of the coordinator's lease amid a move would lose the state that moves with it.
  @Test
  void isNotSettledWhileKeysChangeTheirOwner() {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, 1);
    assertThat(world.service().stable()).isFalse();
    world.run(KeyedService.INITIAL_OWNERS_DELAY_MILLIS + 1_000);
    assertThat(world.service().stable()).isTrue();

    world.drain(world.upstreams.get(0));
    long unsettledMillis = 0;
    for (int i = 0; i < 100; i++) {
      world.run(10);
      unsettledMillis += world.service().stable() ? 0 : 10;
    }

    assertThat(unsettledMillis).isPositive();
    assertThat(world.service().stable()).isTrue();
  }
}
