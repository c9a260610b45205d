package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.ownership.OwnershipEvent;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.platform.OrderResult;
import dev.hornbeamwheel.platform.PlatformFailure;
import dev.hornbeamwheel.platform.UpstreamOrders;
import dev.hornbeamwheel.runtime.member.NodeInbox;
import dev.hornbeamwheel.runtime.member.PlatformErrors;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Sends orders to upstreams, those of one event in one message each, and posts the replies.
 *
 * <p>Confined to the thread of the event loop.
 */
final class OrderSender {
  private final UpstreamOrders orders;
  private final NodeInbox inbox;
  private final PlatformErrors errors;
  private final Map<UpstreamId, List<UpstreamOrder>> waiting = new TreeMap<>();
  private Map<UpstreamId, String> addresses = Map.of();

  OrderSender(UpstreamOrders orders, NodeInbox inbox, PlatformErrors errors) {
    this.orders = orders;
    this.inbox = inbox;
    this.errors = errors;
  }

  /** Learns where the upstreams are. */
  void configure(Configuration configuration) {
    addresses =
        configuration.declarations().upstreams().stream()
            .collect(Collectors.toMap(Upstream::id, Upstream::address, (first, second) -> second));
  }

  /** Adds an order to the next message. */
  void add(UpstreamId upstream, UpstreamOrder order) {
    waiting.computeIfAbsent(upstream, absent -> new ArrayList<>()).add(order);
  }

  /** Sends all messages. */
  void flush() {
    waiting.forEach(this::send);
    waiting.clear();
  }

  private void send(UpstreamId upstream, List<UpstreamOrder> batch) {
    String address = addresses.get(upstream);
    if (address == null) {
      unreachable(upstream, batch);
      return;
    }
    var unused = orders.send(address, batch).thenAccept(result -> replied(upstream, batch, result));
  }

  private void replied(UpstreamId upstream, List<UpstreamOrder> batch, OrderResult result) {
    if (result instanceof OrderResult.Replied replied) {
      replied
          .replies()
          .forEach(
              reply ->
                  inbox.post(
                      now ->
                          new NodeEvent.Ownership(
                              new OwnershipEvent.UpstreamReplied(now, upstream, reply))));
    } else {
      errors.count((PlatformFailure) result);
      unreachable(upstream, batch);
    }
  }

  private void unreachable(UpstreamId upstream, List<UpstreamOrder> batch) {
    batch.forEach(
        order ->
            inbox.post(
                now ->
                    new NodeEvent.Ownership(
                        new OwnershipEvent.UpstreamUnreachable(now, upstream, order.orderId()))));
  }
}
