package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.claims.ClaimMessage;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import java.util.List;

/** An input event of the routing reducer. */
public sealed interface RoutingEvent extends TimedEvent {
  /** Periodic timer tick; due every few milliseconds. */
  record Tick(long atMillis) implements RoutingEvent {}

  /**
   * A caller's request was admitted under its contract.
   *
   * @param requestId id of the request, unique in the fleet
   * @param contract contract of the caller
   * @param service service that is called
   * @param key key of the request; null for a pooled service
   * @param idempotent whether the request is safe to run more than once
   * @param idempotencyKey idempotency key from the caller; null if none
   * @param fingerprint hash of the request; equal for every copy of it
   * @param deadlineMillis deadline of the request by this process's clock
   */
  record RequestArrived(
      long atMillis,
      RequestId requestId,
      ContractId contract,
      ServiceId service,
      Key key,
      boolean idempotent,
      IdempotencyKey idempotencyKey,
      long fingerprint,
      long deadlineMillis)
      implements RoutingEvent {}

  /**
   * The response to an attempt has started, and its request id matches.
   *
   * @param upstreamIncarnation incarnation that the upstream reported; zero if none
   * @param validator strong validator of the whole body; null if none
   */
  record ResponseStarted(
      long atMillis, RequestId requestId, int attempt, long upstreamIncarnation, String validator)
      implements RoutingEvent {}

  /**
   * An attempt ended; occurs exactly once for each {@link RoutingEffect.CallUpstream}.
   *
   * @param upstreamIncarnation incarnation that the upstream reported; zero if none
   */
  record AttemptFinished(
      long atMillis,
      RequestId requestId,
      int attempt,
      long upstreamIncarnation,
      AttemptOutcome outcome)
      implements RoutingEvent {}

  /** The caller closed its connection or cancelled the request. */
  record CallerDisconnected(long atMillis, RequestId requestId) implements RoutingEvent {}

  /** A slot dispatch message arrived from another router. */
  record DispatchReceived(
      long atMillis, MemberId from, Incarnation incarnation, DispatchMessage message)
      implements RoutingEvent {}

  /** An idempotency claim message arrived from a controller. */
  record ClaimReceived(long atMillis, MemberId from, Incarnation incarnation, ClaimMessage message)
      implements RoutingEvent {}

  /** A new configuration took effect. */
  record ConfigurationChanged(long atMillis, Configuration configuration) implements RoutingEvent {}

  /** A cell's ownership row arrived. */
  record OwnershipRowReceived(long atMillis, OwnershipRow row) implements RoutingEvent {}

  /** The set of live routers changed; the list includes this router. */
  record MembersChanged(long atMillis, List<Peer> routers) implements RoutingEvent {
    /** Copies the list. */
    public MembersChanged {
      routers = List.copyOf(routers);
    }
  }

  /**
   * An upstream's health or load report was read; it may be stale or wrong.
   *
   * @param healthy whether the health endpoint reported the upstream as healthy
   * @param inFlight requests that the upstream reports as running or queued
   */
  record UpstreamHealth(long atMillis, UpstreamId upstream, boolean healthy, int inFlight)
      implements RoutingEvent {}

  /** An upstream was observed with a new incarnation. */
  record UpstreamRestarted(long atMillis, UpstreamId upstream, long incarnation)
      implements RoutingEvent {}

  /** Evidence about crashing requests arrived from other members. */
  record EvidenceReceived(long atMillis, List<Evidence> evidence) implements RoutingEvent {
    /** Copies the list. */
    public EvidenceReceived {
      evidence = List.copyOf(evidence);
    }
  }

  /** A graceful shutdown has begun: readiness is off and new requests are refused. */
  record Stopping(long atMillis) implements RoutingEvent {}
}
