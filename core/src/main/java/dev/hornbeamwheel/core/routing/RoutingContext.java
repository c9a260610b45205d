package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/** State that the parts of a routing reducer share. */
final class RoutingContext {
  private final RoutingSettings settings;
  private final long startedAtMillis;
  private final Topology topology;
  private final OwnershipDirectory directory = new OwnershipDirectory();
  private final UpstreamViews views = new UpstreamViews();
  private final Quarantine quarantine = Quarantine.empty();
  private final FallbackSelector fallback;
  private final Random random;
  private final Outbox outbox = new Outbox();
  private final Deque<DispatchMessage> localMessages = new ArrayDeque<>();

  RoutingContext(RoutingSettings settings, long nowMillis, RoutingFaults faults) {
    this.settings = settings;
    this.startedAtMillis = nowMillis;
    this.topology = new Topology(settings, faults);
    this.random = new Random(settings.seed());
    this.fallback = new FallbackSelector(views, topology, random);
  }

  RoutingSettings settings() {
    return settings;
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  Topology topology() {
    return topology;
  }

  OwnershipDirectory directory() {
    return directory;
  }

  UpstreamViews views() {
    return views;
  }

  Quarantine quarantine() {
    return quarantine;
  }

  FallbackSelector fallback() {
    return fallback;
  }

  Random random() {
    return random;
  }

  Outbox outbox() {
    return outbox;
  }

  /** Sends a message to a member; a message to this router itself is queued locally. */
  void send(MemberId to, DispatchMessage message) {
    if (to.equals(settings.self())) {
      localMessages.add(message);
    } else {
      outbox.add(new RoutingEffect.SendDispatchMessage(to, message));
    }
  }

  /** Removes and returns the next message to this router itself; null if there is none. */
  DispatchMessage nextLocalMessage() {
    return localMessages.poll();
  }

  boolean acceptsWork(UpstreamId upstream) {
    return topology.upstream(upstream) != null;
  }

  boolean isSuspect(RequestState request) {
    return quarantine.isSuspect(request.arrival.fingerprint());
  }
}
