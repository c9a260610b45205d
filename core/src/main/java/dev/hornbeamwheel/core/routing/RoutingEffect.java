package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.claims.ClaimMessage;
import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;

/** An effect of the routing concern of a router. */
public sealed interface RoutingEffect {
  /**
   * Sends a request to an upstream.
   *
   * @param attempt number of the attempt, from one
   * @param shard shard of the key; zero for a pooled service
   * @param keyHash hash of the key if it is isolated; otherwise zero
   * @param epoch epoch of the slice; zero for a pooled service
   * @param deadlineMillis reading of this process's clock at which the attempt ends
   * @param resumeOffset body offset to resume at; zero for the whole answer
   * @param validator validator that a resumed answer must carry; null unless it resumes
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

  /** Passes the answer of this attempt on to the caller as it arrives. */
  record StreamResponse(RequestId requestId, int attempt) implements RoutingEffect {}

  /**
   * Ends a request; sent exactly once for each request.
   *
   * @param outcome what the caller is told
   * @param problem why, NONE if an upstream's whole answer is passed on
   * @param status status of the upstream's answer or of the earlier answer; zero if there is none
   * @param retryAfterMillis time after which a retry may succeed; zero if it says nothing
   */
  record EndRequest(
      RequestId requestId, Outcome outcome, ProblemKind problem, int status, long retryAfterMillis)
      implements RoutingEffect {}

  /** Sends a message about slots to another router. */
  record SendDispatchMessage(MemberId to, DispatchMessage message) implements RoutingEffect {}

  /** Sends a message about a claim to a controller. */
  record SendClaimMessage(MemberId to, ClaimMessage message) implements RoutingEffect {}

  /** Spreads evidence about a crashing request to all members at once. */
  record BroadcastEvidence(Evidence evidence) implements RoutingEffect {}

  /**
   * Asks for the row of a key's cell to be fetched anew, since an upstream knows a later one.
   *
   * @param cellIndex index of the cell
   */
  record RefreshOwnership(ServiceId service, int cellIndex) implements RoutingEffect {}

  /**
   * Reports that an upstream does not answer, so that its slices are moved.
   *
   * @param failed whether it failed, as opposed to answering again
   */
  record ReportUpstream(UpstreamId upstream, boolean failed) implements RoutingEffect {}

  /**
   * Reports the requests of one shard or hot key since the last report.
   *
   * <p>The requests of a key that is not isolated count for its shard as well.
   *
   * @param requests how many were answered
   * @param busyMillis time that upstreams spent on them
   */
  record ReportLoad(ServiceId service, int shard, long keyHash, long requests, long busyMillis)
      implements RoutingEffect {}

  /** Writes a decision to the decision log. */
  record LogDecision(Decision decision) implements RoutingEffect {}

  /** All requests have ended after {@link RoutingEvent.Stopping}; the process may exit. */
  record Stopped() implements RoutingEffect {}
}
