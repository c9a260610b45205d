package dev.hornbeamwheel.runtime.member;

import dev.hornbeamwheel.runtime.loop.EventLoop;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import dev.hornbeamwheel.wire.TransportCounters;

/** Registers the metrics that every node has. */
public final class NodeMetrics {
  private NodeMetrics() {}

  /** Registers the metrics of an event loop. */
  public static void register(Metrics metrics, EventLoop<?, ?> loop) {
    metrics.gauge(
        "hornbeamwheel_event_loop_lag_milliseconds",
        "Time by which the last tick of the event loop was late.",
        loop::lagMillis);
    metrics.counter(
        "hornbeamwheel_event_loop_late_ticks_total",
        "Ticks of the event loop that were late by more than a tick.",
        loop::lateTicks);
    metrics.gauge(
        "hornbeamwheel_event_loop_queue", "Events that wait for the event loop.", loop::queued);
  }

  /** Registers the metrics of a transport. */
  public static void register(Metrics metrics, TransportCounters counters) {
    metrics.counter(
        "hornbeamwheel_peer_sent_bytes_total", "Bytes sent to other members.", counters::sentBytes);
    metrics.counter(
        "hornbeamwheel_peer_received_bytes_total",
        "Bytes received from members.",
        counters::receivedBytes);
    metrics.counter(
        "hornbeamwheel_peer_sent_messages_total",
        "Messages sent to other members.",
        counters::sentMessages);
    metrics.counter(
        "hornbeamwheel_peer_received_messages_total",
        "Messages received from members.",
        counters::receivedMessages);
    metrics.counter(
        "hornbeamwheel_gossip_sent_bytes_total",
        "Bytes of gossip sent to members.",
        counters::gossipBytes);
    metrics.counter(
        "hornbeamwheel_peer_dropped_messages_total",
        "Messages dropped because their receiver could not take them.",
        counters::droppedMessages);
    metrics.counter(
        "hornbeamwheel_peer_malformed_frames_total",
        "Frames received that were no message of this version.",
        counters::malformedFrames);
  }
}
