package dev.hornbeamwheel.core.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class LoadCollectorTest {
  private static final ServiceId SERVICE = ServiceId.of("baymap");
  private static final MemberId SELF = MemberId.of("a");

  @Test
  void reportsTheRateOfEachSliceOncePerInterval() {
    LoadCollector collector = new LoadCollector(SELF);
    CellId cell = CellId.of(SERVICE, 3);
    collector.add(cell, Slice.ofShard(1), 4);
    collector.add(cell, Slice.ofShard(1), 6);
    collector.add(cell, Slice.ofKey(1, 77), 5);

    assertThat(collector.reportsDue(LoadCollector.REPORT_MILLIS - 1)).isEmpty();
    assertThat(collector.reportsDue(2_000))
        .containsExactly(
            new LoadReport(
                SELF, SERVICE, 3, Map.of(Slice.ofShard(1), 5.0, Slice.ofKey(1, 77), 2.5)));
    assertThat(collector.reportsDue(4_000)).isEmpty();
  }
}
