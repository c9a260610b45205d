package dev.hornbeamwheel.controller;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.limits.ArbiterEvent;
import dev.hornbeamwheel.core.limits.LimitsEffect;
import dev.hornbeamwheel.core.limits.SharesRow;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.platform.ReadResult;
import dev.hornbeamwheel.platform.WriteResult;
import dev.hornbeamwheel.runtime.member.PlatformErrors;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class SharesTableTest {
  private static final SharesRow ROW = new SharesRow(3, 1, Map.of());

  private final FakePlatform platform = new FakePlatform();
  private final List<NodeEvent> events = new ArrayList<>();
  private final SharesTable table =
      new SharesTable(
          platform, event -> events.add(event.apply(1)), new PlatformErrors(Metrics.empty()));

  @Test
  void readsBackWhatItWrote() {
    table.perform(new LimitsEffect.ReadRow(3, 1));
    table.perform(new LimitsEffect.WriteRow(ROW, 0, 2));
    table.perform(new LimitsEffect.ReadRow(3, 3));

    assertThat(events)
        .containsExactly(
            arbiter(new ArbiterEvent.RowRead(1, 1, SharesRow.initial(3))),
            arbiter(new ArbiterEvent.RowWritten(1, 2, ROW)),
            arbiter(new ArbiterEvent.RowRead(1, 3, ROW)));
  }

  @Test
  void callsEveryFailureUncertain() {
    platform.nextRead = Optional.of(new ReadResult.Unavailable("down"));
    table.perform(new LimitsEffect.ReadRow(3, 1));
    platform.nextWrite = Optional.of(new WriteResult.Unknown("lost"));
    table.perform(new LimitsEffect.WriteRow(ROW, 0, 2));

    assertThat(events)
        .containsExactly(
            arbiter(new ArbiterEvent.RowUncertain(1, 1)),
            arbiter(new ArbiterEvent.RowUncertain(1, 2)));
  }

  private static NodeEvent arbiter(ArbiterEvent event) {
    return new NodeEvent.Arbiter(3, event);
  }
}
