package dev.hornbeamwheel.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.hornbeamwheel.core.membership.Content;
import dev.hornbeamwheel.core.node.LoadReport;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.recovery.Evidence;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

final class ItemBytesTest {
  private static final int TRIES = 200;

  @Property(tries = TRIES, seed = "1")
  void keepsRows(@ForAll("rows") CellRow row) {
    assertThat(ItemBytes.toRow(ItemBytes.ofRow(row))).isEqualTo(row);
  }

  @Property(tries = TRIES, seed = "1")
  void keepsEvidenceButItsAge(@ForAll("evidence") Evidence evidence) {
    assertThat(ItemBytes.toEvidence(ItemBytes.ofEvidence(evidence), evidence.ageMillis()))
        .isEqualTo(evidence);
  }

  @Property(tries = TRIES, seed = "1")
  void keepsLoadReports(@ForAll("load") LoadReport report) {
    assertThat(ItemBytes.toLoad(ItemBytes.ofLoad(report))).isEqualTo(report);
  }

  @Example
  void refusesOtherBytes() {
    Content other = Content.copyOf(new byte[] {1, 2, 3});

    assertThatThrownBy(() -> ItemBytes.toRow(other)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> ItemBytes.toLoad(other)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> ItemBytes.toEvidence(other, 0))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Provide
  Arbitrary<CellRow> rows() {
    return RecordArbitraries.of(CellRow.class);
  }

  @Provide
  Arbitrary<Evidence> evidence() {
    return RecordArbitraries.of(Evidence.class);
  }

  @Provide
  Arbitrary<LoadReport> load() {
    return RecordArbitraries.of(LoadReport.class);
  }
}
