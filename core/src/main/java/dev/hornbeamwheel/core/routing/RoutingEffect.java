package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.claims.ClaimMessage;
import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;

/** An effect of the routing reducer, to be performed by the router. */
public sealed interface RoutingEffect {
  /**
   * Sends a request to an upstream.
   *
   * @param attempt number of the attempt, from one
   * @param shard shard of the key; zero for a pooled service
   * @param keyHash hash of the key if the key is isolated; otherwise zero
   * @param epoch epoch of the slice; zero for a pooled service
   * @param deadlineMillis deadline of the attempt by this process's clock
   * @param resumeOffset body offset to resume at; zero for the whole response
   * @param validator validator that a resumed response must carry; null unless resuming
   */
  record CallUpstream(
      RequestId requestId,
      int attempt,
      UpstreamId upstream,
      int shard,
      long keyHash,
      long epoch,
      long deadlineMillis,
      long resumeOffset,
      String validator)
      implements RoutingEffect {}

  /** Cancels a running attempt; it still ends with an {@link RoutingEvent.AttemptFinished}. */
  record CancelAttempt(RequestId requestId, int attempt) implements RoutingEffect {}

  /** Streams this attempt's response to the caller. */
  record StreamResponse(RequestId requestId, int attempt) implements RoutingEffect {}

  /**
   * Ends a request; emitted exactly once for each request.
   *
   * @param outcome outcome reported to the caller
   * @param problem reason; NONE if an upstream's whole response was forwarded
   * @param status HTTP status of the upstream's response, or of the earlier response to the same
   *     idempotency key; zero if there is none
   * @param retryAfterMillis time after which a retry may succeed; zero if unknown
   */
  record EndRequest(
      RequestId requestId, Outcome outcome, ProblemKind problem, int status, long retryAfterMillis)
      implements RoutingEffect {}

  /** Sends a slot dispatch message to another router. */
  record SendDispatchMessage(MemberId to, DispatchMessage message) implements RoutingEffect {}

  /** Sends an idempotency claim message to a controller. */
  record SendClaimMessage(MemberId to, ClaimMessage message) implements RoutingEffect {}

  /** Broadcasts evidence about a request that crashes upstreams to all members immediately. */
  record BroadcastEvidence(Evidence evidence) implements RoutingEffect {}

  /**
   * Requests the latest row of a cell, since an upstream or a voter may know a newer one.
   *
   * @param cellIndex index of the cell
   */
  record RefreshOwnership(ServiceId service, int cellIndex) implements RoutingEffect {}

  /**
   * Reports that an upstream failed, so that its slices are moved, or recovered.
   *
   * @param failed true if it failed, false if it recovered
   */
  record ReportUpstream(UpstreamId upstream, boolean failed) implements RoutingEffect {}

  /**
   * Reports the load of one shard or hot key since the last report.
   *
   * <p>Requests of a key that is not isolated are also counted in the key's shard.
   *
   * @param requests number of completed requests
   * @param busyMillis total time that upstreams spent on them
   */
  record ReportLoad(ServiceId service, int shard, long keyHash, long requests, long busyMillis)
      implements RoutingEffect {}

  /** Writes a decision to the decision log. */
  record LogDecision(Decision decision) implements RoutingEffect {}

  /** All requests have ended since {@link RoutingEvent.Stopping}; the process may exit. */
  record Stopped() implements RoutingEffect {}
}
