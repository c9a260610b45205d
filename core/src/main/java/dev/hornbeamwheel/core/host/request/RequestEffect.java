package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.cold.ColdLeaseRequest;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.organisations.CallerIdentity;
import dev.hornbeamwheel.core.host.organisations.QuotaLeaseRequest;
import dev.hornbeamwheel.core.host.shares.ShareRequest;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.TrafficClass;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** An action that {@link RequestFlow} requests. */
public sealed interface RequestEffect {
  /**
   * Sends the request to an upstream.
   *
   * @param remainingMillis time until the request's deadline, in milliseconds
   * @param decidedByCoordinator whether the coordinator selected the upstream, not this host
   * @param caller who sent the request
   */
  record Send(
      RequestRef request,
      UpstreamRegistration upstream,
      long remainingMillis,
      boolean idempotent,
      boolean decidedByCoordinator,
      CallerIdentity caller)
      implements RequestEffect {}

  /** Aborts the running attempt and closes the connection to the upstream. */
  record Abort(RequestRef request) implements RequestEffect {}

  /** Forwards the upstream's response to the caller. */
  record ForwardResponse(RequestRef request) implements RequestEffect {}

  /**
   * Responds to the caller with an error.
   *
   * @param retryAfterMillis delay before the caller should retry, in milliseconds; zero if unknown
   * @param decidedByCoordinator whether the coordinator, not this host, made the last decision
   */
  record RespondWithError(
      RequestRef request, ErrorResponse error, long retryAfterMillis, boolean decidedByCoordinator)
      implements RequestEffect {}

  /** Discards a request whose caller has disconnected; no further effect follows for it. */
  record Discard(RequestRef request) implements RequestEffect {}

  /**
   * Requests a slot from the coordinator.
   *
   * @param slotRequestNumber number of the slot request, unique within this host
   * @param trafficClass traffic class of the request
   * @param remainingMillis time until the request's deadline, in milliseconds
   * @param targetRemainingMillis time until the latency target, in milliseconds; zero if it has
   *     passed
   * @param largeResponse whether the response is expected to be large
   * @param suspect whether an upstream ended, or may have ended, while it ran the same request
   * @param excludedUpstreams upstreams that this host cannot use now
   * @param coldLeaseRequest asks for a lease on cold upstreams, too
   * @param shareRequest asks for leased shares of services, too
   */
  record RequestSlot(
      long slotRequestNumber,
      ServiceId service,
      OptionalInt key,
      int priority,
      TrafficClass trafficClass,
      long remainingMillis,
      long targetRemainingMillis,
      boolean largeResponse,
      boolean suspect,
      Set<UpstreamId> excludedUpstreams,
      Optional<ColdLeaseRequest> coldLeaseRequest,
      Optional<ShareRequest> shareRequest)
      implements RequestEffect {}

  /** Requests a lease on parts of quotas from the coordinator. */
  record RequestQuotaLease(QuotaLeaseRequest request) implements RequestEffect {}

  /** Cancels a slot request at the coordinator. */
  record CancelSlotRequest(long slotRequestNumber) implements RequestEffect {}

  /** Releases a slot at the coordinator. */
  record ReleaseSlot(
      long slotRequestNumber,
      UpstreamId upstream,
      Completion completion,
      long runMillis,
      int relativeWorkPercent)
      implements RequestEffect {
    /** Releases a slot without having sent its request. */
    static ReleaseSlot unused(long slotRequestNumber, UpstreamId upstream) {
      return new ReleaseSlot(slotRequestNumber, upstream, Completion.CANCELLED, 0, 0);
    }
  }

  /** Reports a running request that holds a slot to a new coordinator. */
  record ReportHeldSlot(
      long slotRequestNumber, ServiceId service, OptionalInt key, UpstreamId upstream)
      implements RequestEffect {}

  /** Connects to an upstream to learn whether its process still runs. */
  record CheckUpstream(UpstreamIncarnation upstream, Address address) implements RequestEffect {}

  /** Reports new evidence about a request that crashes upstreams to all hosts. */
  record ReportEvidence(Evidence evidence) implements RequestEffect {}

  /** Reports an upstream that leaves by its own word to all hosts. */
  record ReportLeaving(UpstreamIncarnation upstream) implements RequestEffect {}

  /** Writes a log entry. */
  record Log(LogEntry entry) implements RequestEffect {}
}
