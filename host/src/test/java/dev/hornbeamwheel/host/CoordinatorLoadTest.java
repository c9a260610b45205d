package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.CoordinatorStatistics;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests that each log entry covers its own period only, although the work counters accumulate. */
final class CoordinatorLoadTest {
  private final CoordinatorLoad load = new CoordinatorLoad();

  private Map<String, Object> endPeriod(CoordinatorStatistics work) {
    return load.endPeriod(Optional.of(work), 1_000, 7, 30).orElseThrow().fields().stream()
        .collect(Collectors.toMap(LogEntry.Field::name, LogEntry.Field::value));
  }

  @Test
  void nonCoordinatorLogsNothing() {
    assertThat(load.endPeriod(Optional.empty(), 1_000, 0, 0)).isEmpty();
  }

  @Test
  void countsOnlyTheCurrentPeriod() {
    load.recordSent(new HostMessage.KeyMap(ServiceId.of("ledger"), Map.of()), 500);
    load.recordSent(
        new HostMessage.Heartbeat(
            3, true, 2, HostCapacity.unknown(), false, List.of(), Optional.empty()),
        20);
    Map<String, Object> first = endPeriod(new CoordinatorStatistics(3, 2, 100, 90, 4, 30, 6));
    Map<String, Object> second = endPeriod(new CoordinatorStatistics(3, 2, 150, 140, 5, 40, 5));

    assertThat(first).containsEntry("asks", 100L).containsEntry("toldBytes", 520L);
    assertThat(first).containsEntry("keyMapBytes", 500L).containsEntry("queuedBytes", 7L);
    assertThat(second)
        .containsEntry("asks", 50L)
        .containsEntry("gives", 50L)
        .containsEntry("refusals", 1L)
        .containsEntry("orders", 10L)
        .containsEntry("waiting", 5L)
        .containsEntry("toldBytes", 0L)
        .containsEntry("loopDelayMillis", 30L);
  }

  @Test
  void newTermStartsFromZero() {
    endPeriod(new CoordinatorStatistics(3, 2, 100, 90, 4, 30, 6));

    assertThat(endPeriod(new CoordinatorStatistics(5, 2, 20, 10, 1, 3, 0)))
        .containsEntry("asks", 20L);
  }
}
