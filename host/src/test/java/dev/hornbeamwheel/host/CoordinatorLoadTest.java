package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.CoordinatorStatistics;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The line tells what happened in its own period, whatever happened before. */
final class CoordinatorLoadTest {
  private final CoordinatorLoad load = new CoordinatorLoad();

  private Map<String, Object> end(CoordinatorStatistics work) {
    return load.end(Optional.of(work), 1_000, 7, 30).orElseThrow().fields().stream()
        .collect(Collectors.toMap(LogEntry.Field::name, LogEntry.Field::value));
  }

  @Test
  void aHostThatDoesNotCoordinateWritesNoLine() {
    assertThat(load.end(Optional.empty(), 1_000, 0, 0)).isEmpty();
  }

  @Test
  void aLineCountsItsOwnPeriodOnly() {
    load.sent(new HostMessage.KeyMap(ServiceId.of("ledger"), Map.of()), 500);
    load.sent(new HostMessage.Heartbeat(3, true, 2, HostCapacity.unknown(), false), 20);
    Map<String, Object> first = end(new CoordinatorStatistics(3, 2, 100, 90, 4, 30, 6));
    Map<String, Object> second = end(new CoordinatorStatistics(3, 2, 150, 140, 5, 40, 5));

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
  void aNewTermIsCountedFromItsStart() {
    end(new CoordinatorStatistics(3, 2, 100, 90, 4, 30, 6));

    assertThat(end(new CoordinatorStatistics(5, 2, 20, 10, 1, 3, 0))).containsEntry("asks", 20L);
  }
}
