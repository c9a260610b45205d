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

/** An event of the routing concern of a router. */
public sealed interface RoutingEvent extends TimedEvent {
  /** Time has passed; due every few milliseconds. */
  record Tick(long atMillis) implements RoutingEvent {}

  /**
   * A caller's request was admitted under its contract.
   *
   * @param requestId the request, unique in the fleet
   * @param contract the caller's contract
   * @param service the service called
   * @param key the key; null for a pooled service
   * @param idempotent whether running it twice does no harm
   * @param idempotencyKey the caller's idempotency key; null if it sent none
   * @param fingerprint hash of the request, the same for each copy of it
   * @param deadlineMillis reading of this process's clock after which the answer is of no use
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
   * The answer of an attempt has begun, with the request's own id.
   *
   * @param upstreamIncarnation incarnation of the upstream; zero if it gave none
   * @param validator strong validator of the whole body; null if none
   */
  record ResponseStarted(
      long atMillis, RequestId requestId, int attempt, long upstreamIncarnation, String validator)
      implements RoutingEvent {}

  /**
   * An attempt ended; sent exactly once for each {@link RoutingEffect.CallUpstream}.
   *
   * @param upstreamIncarnation incarnation of the upstream; zero if it gave none
   */
  record AttemptFinished(
      long atMillis,
      RequestId requestId,
      int attempt,
      long upstreamIncarnation,
      AttemptOutcome outcome)
      implements RoutingEvent {}

  /** The caller closed its connection or cancelled. */
  record CallerDisconnected(long atMillis, RequestId requestId) implements RoutingEvent {}

  /** Another router sent a message about slots. */
  record DispatchReceived(
      long atMillis, MemberId from, Incarnation incarnation, DispatchMessage message)
      implements RoutingEvent {}

  /** A controller sent a message about a claim. */
  record ClaimReceived(long atMillis, MemberId from, Incarnation incarnation, ClaimMessage message)
      implements RoutingEvent {}

  /** A configuration came into force. */
  record ConfigurationChanged(long atMillis, Configuration configuration) implements RoutingEvent {}

  /** A cell's row was learned. */
  record OwnershipRowReceived(long atMillis, OwnershipRow row) implements RoutingEvent {}

  /** The live routers changed; the list includes this one. */
  record MembersChanged(long atMillis, List<Peer> routers) implements RoutingEvent {
    /** Copies the list. */
    public MembersChanged {
      routers = List.copyOf(routers);
    }
  }

  /**
   * An upstream's health or load report was read; it may lag or mislead.
   *
   * @param healthy whether the endpoint answered that it is healthy
   * @param inFlight requests that the upstream reports to be running or queued
   */
  record UpstreamHealth(long atMillis, UpstreamId upstream, boolean healthy, int inFlight)
      implements RoutingEvent {}

  /** An upstream was seen with a new incarnation. */
  record UpstreamRestarted(long atMillis, UpstreamId upstream, long incarnation)
      implements RoutingEvent {}

  /** Evidence about crashing requests came from other members. */
  record EvidenceReceived(long atMillis, List<Evidence> evidence) implements RoutingEvent {
    /** Copies the list. */
    public EvidenceReceived {
      evidence = List.copyOf(evidence);
    }
  }

  /** A planned stop has begun: readiness is off and no new work may be taken. */
  record Stopping(long atMillis) implements RoutingEvent {}
}
