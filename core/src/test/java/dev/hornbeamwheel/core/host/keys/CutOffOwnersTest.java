package dev.hornbeamwheel.core.host.keys;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One owner of a key at any time while a data centre is cut off and comes back. */
final class CutOffOwnersTest {
  private static final int UPSTREAMS = 9;

  // Guards against two upstreams on one key around the healing of a cut.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void neverTwoHoldersWhileADataCentreIsCutOffAndComesBack(long seed) {
    KeyedServiceSimulation world = world(seed);
    world.lateExecutionRate = 0.08;

    assertOneOwner(world, new Random(seed), false);
  }

  // Guards against a grant of the former coordinator that arrives after the new one's release.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 56, 75})
  void neverTwoHoldersWhenOrdersOfTheFormerCoordinatorLeaveLate(long seed) {
    KeyedServiceSimulation world = world(seed);
    world.newConnectionRate = 0.5;

    assertOneOwner(world, new Random(seed), true);
  }

  private static KeyedServiceSimulation world(long seed) {
    KeyedServiceSimulation world = new KeyedServiceSimulation(UPSTREAMS, seed);
    world.upstreamsCheckIds = true;
    world.lossRate = 0.08;
    world.pauseRate = 0.004;
    return world;
  }

  private static void assertOneOwner(
      KeyedServiceSimulation world, Random random, boolean newTerms) {
    int most = world.run(4_000);
    for (int i = 0; i < 4; i++) {
      DataCentreId dataCentre = DataCentreId.of("dc-" + random.nextInt(3));
      int kind = random.nextInt(4);
      world.partitionDataCentre(dataCentre, kind != 0, kind != 1);
      most = Math.max(most, disturbed(world, random, 500 + random.nextInt(4_500), newTerms));
      boolean lapses = random.nextBoolean();
      if (lapses) {
        world.expireRegistrations(dataCentre);
      }
      most = Math.max(most, disturbed(world, random, random.nextInt(4_000), newTerms));
      world.reconnectDataCentre(dataCentre);
      most = Math.max(most, world.run(random.nextInt(600)));
      world.restoreRegistrations(dataCentre);
      most = Math.max(most, disturbed(world, random, random.nextInt(3_000), newTerms));
    }

    assertThat(most).isLessThanOrEqualTo(1);
    assertThat(world.fencingTokensIncrease).isTrue();
  }

  private static int disturbed(
      KeyedServiceSimulation world, Random random, int millis, boolean newTerms) {
    int most = world.run(millis / 2);
    FakeUpstream holder = world.upstreams.get(random.nextInt(world.upstreams.size()));
    switch (random.nextInt(newTerms ? 6 : 5)) {
      case 0 -> world.startUpstream(random.nextInt(UPSTREAMS));
      case 1 -> world.drain(holder);
      case 2 -> world.storeUnavailable = !world.storeUnavailable;
      case 5 -> most = Math.max(most, world.replaceCoordinator());
      default -> {
        int first = random.nextInt(KeyRange.MAX_KEY - 100);
        for (int i = 0; i < 120; i++) {
          world.demand.add(world.nowMillis, first + i % 40);
        }
      }
    }
    return Math.max(most, world.run(millis - millis / 2));
  }
}
