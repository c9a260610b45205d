package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.node.CoordinatorStatistics;
import dev.hornbeamwheel.core.host.slots.QueueStatistics;
import dev.hornbeamwheel.core.host.slots.RefusalCause;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Metrics of the queues of a coordinator; docs/OPERATIONS.md describes them. */
final class QueueMetrics {
  private final Gauge waiting;
  private final Counter refusals;
  private final Set<DataCentreId> dataCentres = new HashSet<>();
  private Map<RefusalCause, Long> counted = Map.of();
  private long term = -1;

  private QueueMetrics(Gauge waiting, Counter refusals) {
    this.waiting = waiting;
    this.refusals = refusals;
  }

  static QueueMetrics create(Metrics metrics) {
    return new QueueMetrics(
        metrics.gauge(
            "hornbeamwheel_waiting_slot_requests",
            "Slot requests that wait at the coordinator, by the data centre of the host.",
            "data_centre"),
        metrics.counter(
            "hornbeamwheel_slot_refusals_total",
            "Slot requests that the coordinator refused, by cause.",
            "cause"));
  }

  /** Records the statistics of the coordinator; empty if this host does not coordinate. */
  void record(Optional<CoordinatorStatistics> statistics) {
    QueueStatistics queues =
        statistics.map(CoordinatorStatistics::queues).orElseGet(QueueStatistics::empty);
    dataCentres.addAll(queues.waiting().keySet());
    dataCentres.forEach(
        id ->
            waiting
                .labelValues(id.value())
                .set((double) queues.waiting().getOrDefault(id, 0L).longValue()));
    statistics.ifPresent(this::countRefusals);
  }

  private void countRefusals(CoordinatorStatistics statistics) {
    Map<RefusalCause, Long> baseline = statistics.term() == term ? counted : Map.of();
    Map<RefusalCause, Long> current = statistics.queues().refusals();
    current.forEach(
        (cause, count) ->
            refusals
                .labelValues(cause.name())
                .inc((double) (count - baseline.getOrDefault(cause, 0L))));
    counted = current;
    term = statistics.term();
  }
}
