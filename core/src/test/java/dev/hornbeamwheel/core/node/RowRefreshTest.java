package dev.hornbeamwheel.core.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ServiceId;
import org.junit.jupiter.api.Test;

final class RowRefreshTest {
  @Test
  void allowsOneReadOfEachRowPerInterval() {
    RowRefresh refresh = new RowRefresh();
    CellId first = CellId.of(ServiceId.of("baymap"), 0);
    CellId second = CellId.of(ServiceId.of("baymap"), 1);

    assertThat(refresh.allowed(0, first)).isTrue();
    assertThat(refresh.allowed(0, second)).isTrue();
    assertThat(refresh.allowed(RowRefresh.INTERVAL_MILLIS - 1, first)).isFalse();
    assertThat(refresh.allowed(RowRefresh.INTERVAL_MILLIS, first)).isTrue();
  }
}
