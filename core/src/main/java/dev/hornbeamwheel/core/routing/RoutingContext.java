package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/** What the parts of a routing reducer share. */
final class RoutingContext {
  private final RoutingSettings settings;
  private final long startedAtMillis;
  private final Topology topology;
  private final Directory directory = new Directory();
  private final UpstreamViews views = new UpstreamViews();
  private final Quarantine quarantine = Quarantine.empty();
  private final FallbackChoice fallback;
  private final Random random;
  private final Outbox outbox = new Outbox();
  private final Deque<DispatchMessage> toSelf = new ArrayDeque<>();

  RoutingContext(RoutingSettings settings, long nowMillis, RoutingFaults faults) {
    this.settings = settings;
    this.startedAtMillis = nowMillis;
    this.topology = new Topology(settings, faults);
    this.random = new Random(settings.seed());
    this.fallback = new FallbackChoice(views, topology, random);
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

  Directory directory() {
    return directory;
  }

  UpstreamViews views() {
    return views;
  }

  Quarantine quarantine() {
    return quarantine;
  }

  FallbackChoice fallback() {
    return fallback;
  }

  Random random() {
    return random;
  }

  Outbox outbox() {
    return outbox;
  }

  /** Sends a message to a dispatcher or router; one to this router itself is queued. */
  void send(MemberId to, DispatchMessage message) {
    if (to.equals(settings.self())) {
      toSelf.add(message);
    } else {
      outbox.add(new RoutingEffect.SendDispatch(to, message));
    }
  }

  /** Returns the next message of this router to itself; null if there is none. */
  DispatchMessage nextToSelf() {
    return toSelf.poll();
  }

  boolean takesWork(UpstreamId upstream) {
    return topology.upstream(upstream) != null;
  }

  boolean suspect(RequestState request) {
    return quarantine.isSuspect(request.arrival.fingerprint());
  }
}
