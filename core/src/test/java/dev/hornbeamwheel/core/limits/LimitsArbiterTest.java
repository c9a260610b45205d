package dev.hornbeamwheel.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.Contract;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.junit.jupiter.api.Test;

class LimitsArbiterTest {
  private static final Contract CONTRACT = LimitsSimulation.contract(600, 60, 40);

  @Property(tries = 150, seed = "42")
  void contractHoldsOverTheFleetUnderFaults(
      @ForAll("faults") ActionChain<LimitsSimulation> faults) {
    LimitsSimulation fleet = faults.run();
    fleet.heal();
    fleet.time.advance(3000);
    assertThat(fleet.oracle.violations()).isEmpty();
  }

  @Test
  void demandOnOneHostGetsNearlyTheWholeContract() {
    LimitsSimulation fleet = new LimitsSimulation(CONTRACT, 3, 4, 5);
    fleet.router(0).offered(1200);
    fleet.time.advance(15_000);
    long before = fleet.oracle.admittedSoFar();
    fleet.time.advance(10_000);
    assertThat(fleet.oracle.admittedSoFar() - before).isGreaterThan(5700);
    assertThat(fleet.oracle.violations()).isEmpty();
  }

  @Test
  void dataCentreThatIsCutOffKeepsItsShare() {
    LimitsSimulation fleet = new LimitsSimulation(CONTRACT, 3, 4, 5);
    fleet.routers.forEach(router -> router.offered(100));
    fleet.time.advance(10_000);
    fleet.network.cut("dc0", LimitsSimulation.TABLE);
    fleet.routers.stream()
        .filter(router -> router.centre != fleet.centre(0))
        .forEach(router -> router.offered(0));
    long before = fleet.oracle.admittedSoFar();
    fleet.time.advance(10_000);
    assertThat(fleet.oracle.admittedSoFar() - before).isGreaterThan(1900);
    assertThat(fleet.oracle.violations()).isEmpty();
  }

  @Test
  void routersAreServedThroughAChangeOfArbiter() {
    LimitsSimulation fleet = new LimitsSimulation(CONTRACT, 1, 4, 5);
    fleet.routers.forEach(router -> router.offered(100));
    fleet.time.advance(10_000);
    fleet.centre(0).changeArbiter();
    long before = fleet.oracle.admittedSoFar();
    fleet.time.advance(10_000);
    assertThat(fleet.oracle.admittedSoFar() - before).isGreaterThan(3800);
    assertThat(fleet.oracle.violations()).isEmpty();
  }

  @Test
  void shareReusedBeforeItsLeaseLapsedIsCaught() {
    LimitsSimulation fleet = cutOffHolder(LapseRule.AT_EXPIRY, silent -> silent >= 500);
    assertThat(fleet.oracle.violations()).isNotEmpty();
  }

  @Test
  void leaseThatNeverLapsesIsCaught() {
    LimitsSimulation fleet = cutOffHolder((expires, now) -> false, ReuseRule.AFTER_LAPSE);
    assertThat(fleet.oracle.violations()).isNotEmpty();
  }

  @Test
  void holderThatIsCutOffStaysWithinTheContract() {
    LimitsSimulation fleet = cutOffHolder(LapseRule.AT_EXPIRY, ReuseRule.AFTER_LAPSE);
    assertThat(fleet.oracle.violations()).isEmpty();
  }

  @Provide
  Arbitrary<ActionChain<LimitsSimulation>> faults() {
    return ActionChain.startWith(() -> new LimitsSimulation(CONTRACT, 3, 3, 9))
        .withAction(6, action("wait", (fleet, n) -> fleet.time.advance(n * 41L)))
        .withAction(4, action("offer", (fleet, n) -> fleet.router(n).offered(n * 15)))
        .withAction(2, action("kill", (fleet, n) -> fleet.router(n).kill()))
        .withAction(2, action("restart", (fleet, n) -> fleet.router(n).start()))
        .withAction(2, action("pause", (fleet, n) -> fleet.router(n).pause(n * 50L)))
        .withAction(2, action("change arbiter", (fleet, n) -> fleet.centre(n).changeArbiter()))
        .withAction(
            2,
            action(
                "cut router",
                (fleet, n) -> cut(fleet, fleet.router(n).id.value(), arbiter(fleet, n), n)))
        .withAction(
            2,
            action("cut table", (fleet, n) -> cut(fleet, "dc" + n % 3, LimitsSimulation.TABLE, n)))
        .withAction(1, action("lose answers", (fleet, n) -> fleet.unanswered(n)))
        .withAction(
            2, action("bad network", (fleet, n) -> fleet.network.faults(n % 40, n % 30, 1 + n * 9)))
        .withAction(1, action("heal", (fleet, n) -> fleet.heal()))
        .withMaxTransformations(24);
  }

  private static String arbiter(LimitsSimulation fleet, int n) {
    return fleet.router(n).centre.id + "/arbiter";
  }

  private static void cut(LimitsSimulation fleet, String one, String other, int n) {
    fleet.network.cut(one, other);
    if (n % 2 == 0) {
      fleet.network.cut(other, one);
    }
  }

  private static LimitsSimulation cutOffHolder(LapseRule lapseRule, ReuseRule reuseRule) {
    Contract wide = LimitsSimulation.contract(600, 60, 400);
    LimitsSimulation fleet = new LimitsSimulation(wide, 1, 3, 5, lapseRule, reuseRule);
    fleet.router(0).offered(2000);
    fleet.time.advance(12_000);
    fleet.network.cut("r0", "dc0/arbiter");
    fleet.router(1).offered(2000);
    fleet.time.advance(10_000);
    return fleet;
  }

  private static Action.Independent<LimitsSimulation> action(
      String name, BiConsumer<LimitsSimulation, Integer> effect) {
    return () ->
        Arbitraries.integers()
            .between(0, 99)
            .map(n -> Transformer.mutate(name + " " + n, fleet -> effect.accept(fleet, n)));
  }
}
