package dev.hornbeamwheel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.ConfigReducer;
import java.util.Random;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.state.ActionChain;
import org.junit.jupiter.api.Test;

/** Longer runs than CI makes, by {@code -Dtest=FleetFuzz -Dfuzz.seed=7 -Dfuzz.tries=2000}. */
class FleetFuzz {
  @Test
  void fleetConvergesAfterFaults() {
    long seed = Long.getLong("fuzz.seed", 1);
    int tries = Integer.getInteger("fuzz.tries", 1000);
    Random random = new Random(seed);
    RandomGenerator<ActionChain<FleetSimulation>> chains =
        FleetFaults.chain(() -> new FleetSimulation(3, 8, seed, ConfigReducer::of))
            .generator(tries);
    for (int i = 0; i < tries; i++) {
      ActionChain<FleetSimulation> chain = chains.next(random).value();
      FleetSimulation fleet = chain.run();
      fleet.heal();
      fleet.advance(12_000);
      String story = "try " + i + " of seed " + seed + ": " + chain.transformations();
      assertThat(fleet.violations()).as(story).isEmpty();
      assertThat(fleet.disagreements()).as(story).isEmpty();
      fleet.storeNextVersion();
      fleet.advance(3000);
      assertThat(fleet.outdated()).as(story).isEmpty();
    }
  }
}
