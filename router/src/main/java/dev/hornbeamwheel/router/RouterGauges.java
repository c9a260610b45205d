package dev.hornbeamwheel.router;

import dev.hornbeamwheel.router.flow.RequestFlow;
import dev.hornbeamwheel.runtime.loop.EventLoop;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import dev.hornbeamwheel.wire.PeerTransport;

/** Gauges that are read when the metrics page is asked for. */
final class RouterGauges {
  private RouterGauges() {}

  static void register(
      Metrics metrics, EventLoop<?, ?> loop, PeerTransport transport, RequestFlow flow) {
    metrics.gauge("hornbeamwheel_requests_in_flight", "Requests that callers wait for", flow::size);
    metrics.gauge(
        "hornbeamwheel_loop_lag_milliseconds", "Lateness of the last tick", loop::lagMillis);
    metrics.counter(
        "hornbeamwheel_peer_sent_bytes_total",
        "Bytes sent to other members",
        () -> transport.counters().sentBytes());
    metrics.counter(
        "hornbeamwheel_peer_received_bytes_total",
        "Bytes received from other members",
        () -> transport.counters().receivedBytes());
    metrics.counter(
        "hornbeamwheel_peer_dropped_messages_total",
        "Messages to other members that were dropped",
        () -> transport.counters().droppedMessages());
  }
}
