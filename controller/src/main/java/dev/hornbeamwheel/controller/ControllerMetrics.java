package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;

/** Metrics of the controller; docs/OPERATIONS.md says what each means. */
final class ControllerMetrics {
  private final Counter orders;
  private final Counter decisions;
  private final Counter rowWrites;
  private final Gauge configurationVersion;

  private ControllerMetrics(Metrics metrics) {
    orders =
        metrics.counter(
            "hornbeamwheel_upstream_orders_total", "Orders sent to upstreams, by kind.", "kind");
    decisions =
        metrics.counter(
            "hornbeamwheel_decisions_total",
            "Decisions on leadership, grants and moves, by kind.",
            "kind");
    rowWrites = metrics.counter("hornbeamwheel_cell_row_writes_total", "Writes of rows of cells.");
    configurationVersion =
        metrics.gauge("hornbeamwheel_configuration_version", "Version in force in this process.");
  }

  static ControllerMetrics in(Metrics metrics) {
    return new ControllerMetrics(metrics);
  }

  void ordered(UpstreamOrder order) {
    orders.labelValues(kind(order)).inc();
  }

  void decided(Decision decision) {
    decisions.labelValues(decision.kind()).inc();
  }

  void rowWritten() {
    rowWrites.inc();
  }

  void configurationInForce(long version) {
    configurationVersion.set((double) version);
  }

  private static String kind(UpstreamOrder order) {
    if (order instanceof UpstreamOrder.Renew) {
      return "renew";
    }
    if (order instanceof UpstreamOrder.Replace) {
      return "replace";
    }
    return order instanceof UpstreamOrder.Release ? "release" : "read-clock";
  }
}
