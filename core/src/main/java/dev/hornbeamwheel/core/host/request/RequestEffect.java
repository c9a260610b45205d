package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.OptionalInt;
import java.util.Set;

/** What the path of requests asks for. */
public sealed interface RequestEffect {
  /**
   * Send the request to an upstream.
   *
   * @param remainingMillis time until its deadline, in milliseconds
   * @param decidedByCoordinator whether the coordinator chose the upstream, and not this host
   */
  record Send(
      RequestRef request,
      UpstreamEntry upstream,
      long remainingMillis,
      boolean idempotent,
      boolean decidedByCoordinator)
      implements RequestEffect {}

  /** End the attempt that is running; the connection to the upstream is closed. */
  record Abort(RequestRef request) implements RequestEffect {}

  /** Deliver the upstream's answer to the caller. */
  record ForwardResponse(RequestRef request) implements RequestEffect {}

  /**
   * Answer the caller.
   *
   * @param retryAfterMillis when to come back, in milliseconds; zero if that is not known
   * @param decidedByCoordinator whether the coordinator decided or chose last, and not this host
   */
  record RespondWithError(
      RequestRef request, ErrorResponse error, long retryAfterMillis, boolean decidedByCoordinator)
      implements RequestEffect {}

  /** Forget a request whose caller has left; nothing further is asked for it. */
  record Discard(RequestRef request) implements RequestEffect {}

  /**
   * Ask the coordinator for a slot.
   *
   * @param slotRequestNumber number of the ask
   * @param remainingMillis time until the request's deadline, in milliseconds
   * @param targetRemainingMillis time until the latency target, in milliseconds; zero if it has
   *     passed
   */
  record RequestSlot(
      long slotRequestNumber,
      ServiceId service,
      OptionalInt key,
      int priority,
      long remainingMillis,
      long targetRemainingMillis,
      boolean largeResponse,
      Set<UpstreamId> excludedUpstreams)
      implements RequestEffect {}

  /** Tell the coordinator that an ask is void. */
  record CancelSlotRequest(long slotRequestNumber) implements RequestEffect {}

  /** Tell the coordinator that a slot is free again. */
  record ReleaseSlot(
      long slotRequestNumber,
      UpstreamId upstream,
      Completion completion,
      long runMillis,
      int relativeWorkPercent)
      implements RequestEffect {}

  /** Tell a new coordinator of a request that holds a slot. */
  record ReportHeldSlot(
      long slotRequestNumber, ServiceId service, OptionalInt key, UpstreamId upstream)
      implements RequestEffect {}

  /** Write a log line. */
  record Log(LogEntry entry) implements RequestEffect {}
}
