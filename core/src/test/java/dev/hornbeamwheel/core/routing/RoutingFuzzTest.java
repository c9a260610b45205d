package dev.hornbeamwheel.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.ColdStart;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Injects random sequences of requests and faults, then checks every routing guarantee.
 *
 * <p>For more and longer runs: {@code mvn -o -pl core test -Dtest=RoutingFuzzTest -Dfuzz.seed=7
 * -Dfuzz.tries=2000}.
 */
final class RoutingFuzzTest {
  private static final String SEED = "4711";
  private static final int TRIES = 150;
  private static final int LONGER_TRIES = 10_000;
  private static final int ACTIONS = 40;
  private static final long SETTLE_MILLIS = 6_000;

  @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
  void keepsEveryPromiseUnderFaults(@ForAll("chains") ActionChain<FaultySimulation> chain) {
    check(chain);
  }

  @Example
  void keepsEveryPromiseInLongerRuns() {
    Random random = new Random(Long.getLong("fuzz.seed", 1));
    RandomGenerator<ActionChain<FaultySimulation>> generator = chains().generator(LONGER_TRIES);
    int tries = Integer.getInteger("fuzz.tries", 1);
    IntStream.range(0, tries).forEach(i -> check(generator.next(random).value()));
  }

  private static void check(ActionChain<FaultySimulation> chain) {
    FaultySimulation simulation = chain.run();
    simulation.clearNetworkFaults();
    simulation.advance(SETTLE_MILLIS);
    assertThat(simulation.violations()).as("%s", chain.transformations()).isEmpty();
    assertThat(simulation.unanswered()).isZero();
  }

  @Provide
  Arbitrary<ActionChain<FaultySimulation>> chains() {
    Arbitrary<Long> seeds = Arbitraries.longs().between(1, 1_000_000);
    return seeds.flatMap(
        seed -> chains(seed, RoutingFaults.NONE, RoutingSimulation.UPSTREAM_COLD_START));
  }

  static Arbitrary<ActionChain<FaultySimulation>> chains(
      long seed, RoutingFaults faults, ColdStart declaredColdStart) {
    return ActionChain.startWith(() -> new FaultySimulation(seed, faults, declaredColdStart))
        .withAction(6, step("advance", 1, 200, (w, n) -> w.advance(n)))
        .withAction(6, step("lookups", 1, 20, FaultySimulation::lookups))
        .withAction(4, step("keyed", 0, 9, (w, n) -> w.keyed("mill-" + n)))
        .withAction(4, step("orders", 0, 9, FaultySimulation::orders))
        .withAction(1, step("orderWithoutKey", 0, 9, (w, n) -> w.orderWithoutKey()))
        .withAction(1, step("crashing requests", 0, 2, FaultySimulation::sendCrashingRequests))
        .withAction(2, step("response fault", 1, 4, FaultySimulation::injectResponseFault))
        .withAction(1, step("crash", 0, 0, (w, n) -> w.crashUpstream()))
        .withAction(1, step("freeze upstream", 50, 1_500, (w, n) -> w.freezeUpstream(n)))
        .withAction(1, step("freeze router", 50, 1_500, (w, n) -> w.freezeRouter(n)))
        .withAction(1, step("replace router", 0, 0, (w, n) -> w.replaceRouter()))
        .withAction(1, step("cut router", 50, 1_500, (w, n) -> w.cutRouter(n)))
        .withAction(1, step("cut voter", 50, 1_500, (w, n) -> w.cutVoter(n)))
        .withAction(1, step("replace voter", 0, 0, (w, n) -> w.replaceVoter()))
        .withAction(1, step("drain", 0, 0, (w, n) -> w.drainUpstream()))
        .withAction(1, step("move keys", 0, 0, (w, n) -> w.moveKeys()))
        .withAction(1, step("stop router", 0, 0, (w, n) -> w.stopRouter()))
        .withAction(1, step("network", 0, 5, FaultySimulation::disturbNetwork))
        .withMaxTransformations(ACTIONS);
  }

  private interface Step {
    void apply(FaultySimulation simulation, int number);
  }

  private static Action.Independent<FaultySimulation> step(
      String name, int least, int most, Step step) {
    return () ->
        Arbitraries.integers()
            .between(least, most)
            .map(
                n ->
                    Transformer.mutate(
                        name + " " + n,
                        simulation -> {
                          step.apply(simulation, n);
                          simulation.advance(40);
                        }));
  }
}
