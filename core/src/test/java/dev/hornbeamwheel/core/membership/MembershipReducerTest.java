package dev.hornbeamwheel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.ConfigReducer;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;
import org.junit.jupiter.api.Test;

class MembershipReducerTest {
  private static final long SETTLE_MILLIS = 12_000;

  @Test
  void coldStartedFleetAgreesOnItsMembers() {
    FleetSimulation fleet = fleet(Refutation.ALWAYS);
    fleet.advance(5000);
    assertThat(fleet.disagreements()).isEmpty();
  }

  @Test
  void lostMemberIsNoticedEverywhere() {
    FleetSimulation fleet = fleet(Refutation.ALWAYS);
    fleet.advance(5000);
    fleet.process(4).kill();
    fleet.advance(5000);
    assertThat(fleet.disagreements()).isEmpty();
  }

  @Test
  void configurationIsInForceEverywhereWithinThreeSeconds() {
    FleetSimulation fleet = fleet(Refutation.ALWAYS);
    fleet.advance(5000);
    fleet.storeNextVersion();
    fleet.advance(3000);
    assertThat(fleet.outdated()).isEmpty();
  }

  @Property(tries = 150, seed = "41")
  void fleetConvergesAfterFaults(@ForAll("faults") ActionChain<FleetSimulation> faults) {
    FleetSimulation fleet = faults.run();
    fleet.heal();
    fleet.advance(SETTLE_MILLIS);
    assertThat(fleet.violations()).isEmpty();
    assertThat(fleet.disagreements()).isEmpty();
    fleet.storeNextVersion();
    fleet.advance(3000);
    assertThat(fleet.outdated()).isEmpty();
  }

  @Test
  void withoutRefutationWronglySuspectedMemberStaysLost() {
    FleetSimulation fleet = fleet((rowVersion, ownVersion) -> false);
    fleet.advance(5000);
    fleet.cut("m0", "members", true);
    fleet.advance(8000);
    fleet.heal();
    fleet.advance(SETTLE_MILLIS);
    assertThat(fleet.disagreements()).isNotEmpty();
  }

  @Provide
  Arbitrary<ActionChain<FleetSimulation>> faults() {
    return FleetFaults.chain(() -> fleet(Refutation.ALWAYS));
  }

  private static FleetSimulation fleet(Refutation refutation) {
    return new FleetSimulation(3, 8, 7, ConfigReducer::of, refutation);
  }
}
