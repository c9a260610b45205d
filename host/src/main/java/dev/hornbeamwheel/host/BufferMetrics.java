package dev.hornbeamwheel.host;

import dev.hornbeamwheel.runtime.metrics.Metrics;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;

/** Metrics of the bytes buffered for callers; docs/OPERATIONS.md describes them. */
final class BufferMetrics {
  private final Gauge requestBytes;
  private final Gauge responseBytes;
  private final Counter refusals;
  private long countedRefusals;

  private BufferMetrics(Gauge requestBytes, Gauge responseBytes, Counter refusals) {
    this.requestBytes = requestBytes;
    this.responseBytes = responseBytes;
    this.refusals = refusals;
  }

  static BufferMetrics create(Metrics metrics) {
    return new BufferMetrics(
        metrics.gauge(
            "hornbeamwheel_buffered_request_bytes",
            "Bytes of request bodies that are being read or are held for requests in flight."),
        metrics.gauge(
            "hornbeamwheel_buffered_response_bytes",
            "Bytes that callers, or upstreams after their response, have not accepted yet."),
        metrics.counter(
            "hornbeamwheel_body_refusals_total",
            "Requests refused because their body did not fit into the budget."));
  }

  /** Records the present state. */
  void record(CallerBuffers buffers) {
    requestBytes.set((double) buffers.requestBytes());
    responseBytes.set((double) buffers.responseBytes());
    refusals.inc((double) (buffers.refusals() - countedRefusals));
    countedRefusals = buffers.refusals();
  }
}
