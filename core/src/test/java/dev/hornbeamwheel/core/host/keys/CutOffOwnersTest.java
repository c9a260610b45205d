package dev.hornbeamwheel.core.host.keys;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that each key has at most one holder while a data centre is cut off and reconnected. */
final class CutOffOwnersTest {
  private static final int UPSTREAMS = 9;

  // Guards against two upstreams that hold one key when a network partition ends.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void neverTwoHoldersWhileADataCentreIsCutOffAndReconnected(long seed) {
    KeyedServiceSimulation simulation = simulation(seed);
    simulation.lateExecutionRate = 0.08;

    assertOneOwner(simulation, new Random(seed), false);
  }

  // Guards against a grant of the former coordinator that arrives after a release of the new one.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 56, 75})
  void neverTwoHoldersWhenTheFormerCoordinatorSendsOrdersLate(long seed) {
    KeyedServiceSimulation simulation = simulation(seed);
    simulation.newConnectionRate = 0.5;

    assertOneOwner(simulation, new Random(seed), true);
  }

  private static KeyedServiceSimulation simulation(long seed) {
    KeyedServiceSimulation simulation = new KeyedServiceSimulation(UPSTREAMS, seed);
    simulation.idsChecked = true;
    simulation.lossRate = 0.08;
    simulation.pauseRate = 0.004;
    return simulation;
  }

  private static void assertOneOwner(
      KeyedServiceSimulation simulation, Random random, boolean withNewTerms) {
    int maxHolders = simulation.run(4_000);
    for (int i = 0; i < 4; i++) {
      DataCentreId dataCentre = DataCentreId.of("dc-" + random.nextInt(3));
      int direction = random.nextInt(4);
      simulation.partitionDataCentre(dataCentre, direction != 0, direction != 1);
      maxHolders =
          Math.max(
              maxHolders,
              runWithFault(simulation, random, 500 + random.nextInt(4_500), withNewTerms));
      boolean registrationsExpire = random.nextBoolean();
      if (registrationsExpire) {
        simulation.expireRegistrations(dataCentre);
      }
      maxHolders =
          Math.max(
              maxHolders, runWithFault(simulation, random, random.nextInt(4_000), withNewTerms));
      simulation.reconnectDataCentre(dataCentre);
      maxHolders = Math.max(maxHolders, simulation.run(random.nextInt(600)));
      simulation.restoreRegistrations(dataCentre);
      maxHolders =
          Math.max(
              maxHolders, runWithFault(simulation, random, random.nextInt(3_000), withNewTerms));
    }

    assertThat(maxHolders).isLessThanOrEqualTo(1);
    assertThat(simulation.fencingTokensIncrease).isTrue();
  }

  private static int runWithFault(
      KeyedServiceSimulation simulation, Random random, int millis, boolean withNewTerms) {
    int maxHolders = simulation.run(millis / 2);
    FakeUpstream upstream = simulation.upstreams.get(random.nextInt(simulation.upstreams.size()));
    switch (random.nextInt(withNewTerms ? 6 : 5)) {
      case 0 -> simulation.startUpstream(random.nextInt(UPSTREAMS));
      case 1 -> simulation.drain(upstream);
      case 2 -> simulation.storeDown = !simulation.storeDown;
      case 5 -> maxHolders = Math.max(maxHolders, simulation.replaceCoordinator());
      default -> {
        int first = random.nextInt(KeyRange.MAX_KEY - 100);
        for (int i = 0; i < 120; i++) {
          simulation.demand.add(simulation.nowMillis, first + i % 40);
        }
      }
    }
    return Math.max(maxHolders, simulation.run(millis - millis / 2));
  }
}
