package dev.hornbeamwheel.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.state.ActionChain;
import org.junit.jupiter.api.Test;

/** Longer runs than CI makes, by {@code -Dtest=LimitsFuzz -Dfuzz.seed=7 -Dfuzz.tries=2000}. */
class LimitsFuzz {
  @Test
  void contractHoldsOverTheFleetUnderFaults() {
    long seed = Long.getLong("fuzz.seed", 1);
    int tries = Integer.getInteger("fuzz.tries", 1000);
    Random random = new Random(seed);
    RandomGenerator<ActionChain<LimitsSimulation>> chains =
        LimitsFaults.chain(
                () -> new LimitsSimulation(LimitsSimulation.contract(600, 60, 40), 3, 3, seed))
            .generator(tries);
    for (int i = 0; i < tries; i++) {
      ActionChain<LimitsSimulation> chain = chains.next(random).value();
      LimitsSimulation fleet = chain.run();
      fleet.heal();
      fleet.time.advance(3000);
      assertThat(fleet.oracle.violations())
          .as("try %d of seed %d: %s", i, seed, chain.transformations())
          .isEmpty();
    }
  }
}
