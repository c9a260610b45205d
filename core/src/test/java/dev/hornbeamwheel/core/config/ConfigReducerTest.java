package dev.hornbeamwheel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.membership.FleetSimulation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigReducerTest {
  private static final MemberId SELF = MemberId.of("quimper-1/router");

  @Test
  void olderConfigurationIsIgnored() {
    ConfigReducer reducer = ConfigReducer.of(SELF);
    reducer.reduce(new ConfigEvent.ConfigurationRead(0, configuration(2)));
    assertThat(reducer.reduce(new ConfigEvent.ConfigurationLearned(1, configuration(1)))).isEmpty();
    assertThat(reducer.current().version()).isEqualTo(2);
  }

  @Test
  void onlyFewMembersOfADataCentrePoll() {
    List<MemberId> members =
        List.of(SELF, MemberId.of("q2"), MemberId.of("q3"), MemberId.of("q4"), MemberId.of("q5"));
    long pollers =
        members.stream().filter(member -> polls(ConfigReducer.of(member), members)).count();
    assertThat(pollers).isEqualTo(ConfigReducer.POLLERS);
  }

  @Test
  void acceptingAnOlderConfigurationIsCaught() {
    assertThat(reorderedReadings((inForce, candidate) -> candidate != inForce)).isNotEmpty();
  }

  @Test
  void versionNeverGoesBackWhenReadingsAreReordered() {
    assertThat(reorderedReadings(VersionRule.FORWARD_ONLY)).isEmpty();
  }

  private static List<String> reorderedReadings(VersionRule rule) {
    FleetSimulation fleet = new FleetSimulation(2, 4, 3, id -> ConfigReducer.withRule(id, rule));
    fleet.reorder();
    for (int i = 0; i < 50; i++) {
      fleet.storeNextVersion();
      fleet.advance(200);
    }
    return fleet.violations();
  }

  private static boolean polls(ConfigReducer reducer, List<MemberId> members) {
    reducer.reduce(new ConfigEvent.PeersKnown(0, members));
    return !reducer.reduce(new ConfigEvent.Tick(1)).isEmpty();
  }

  private static Configuration configuration(long version) {
    return new Configuration(version, Declarations.empty());
  }
}
