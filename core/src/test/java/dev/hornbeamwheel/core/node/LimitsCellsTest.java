package dev.hornbeamwheel.core.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.limits.ContractGroups;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RegionId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class LimitsCellsTest {
  private static final DataCentreId QUIMPER = DataCentreId.of("quimper");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");

  @Test
  void addsOneCellPerGroupPinnedToTheDataCentre() {
    Configuration extended = LimitsCells.addTo(configuration(), QUIMPER);

    assertThat(extended.version()).isEqualTo(7);
    assertThat(extended.declarations().services())
        .singleElement()
        .satisfies(
            service -> {
              assertThat(service.keyed()).isFalse();
              assertThat(service.cells()).isEqualTo(ContractGroups.COUNT);
              assertThat(service.id()).isEqualTo(LimitsCells.cell(QUIMPER, 0).service());
            });
    assertThat(extended.declarations().upstreams())
        .singleElement()
        .satisfies(anchor -> assertThat(anchor.dataCentre()).isEqualTo(QUIMPER));
  }

  @Test
  void addsNothingToADataCentreThatIsNotDeclared() {
    assertThat(LimitsCells.addTo(configuration(), VANNES)).isEqualTo(configuration());
  }

  @Test
  void tellsItsCellsFromOthersAndByDataCentre() {
    assertThat(LimitsCells.contains(LimitsCells.cell(VANNES, 3))).isTrue();
    assertThat(LimitsCells.contains(LimitsCells.cell(VANNES, 3), VANNES)).isTrue();
    assertThat(LimitsCells.contains(LimitsCells.cell(VANNES, 3), QUIMPER)).isFalse();
  }

  private static Configuration configuration() {
    return new Configuration(
        7,
        new Declarations(
            List.of(new DataCentre(QUIMPER, RegionId.of("armor"))),
            List.of(),
            List.of(),
            List.of(),
            Set.of(),
            Set.of(),
            Set.of()));
  }
}
