package dev.hornbeamwheel.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.Contract;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;
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
    return LimitsFaults.chain(() -> new LimitsSimulation(CONTRACT, 3, 3, 9));
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
}
