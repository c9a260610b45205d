package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Finds an upstream for a request without the coordinator, or refuses the request. */
final class LocalSelection {
  private final LocalUpstreamSelector selector;
  private final LocalShares shares;
  private final CrashGuard crashGuard;
  private final UpstreamNotices notices;
  private final FinalResponses responses;

  LocalSelection(
      LocalUpstreamSelector selector,
      LocalShares shares,
      CrashGuard crashGuard,
      UpstreamNotices notices,
      FinalResponses responses) {
    this.selector = selector;
    this.shares = shares;
    this.crashGuard = crashGuard;
    this.notices = notices;
    this.responses = responses;
  }

  /** Returns the upstream for a request, which must be sent to it; empty if it was refused. */
  Optional<UpstreamRegistration> selectOrRefuse(long nowMillis, InFlightRequest request) {
    if (nowMillis >= request.deadlineMillis) {
      // The event loop is delayed; otherwise the request would have ended already.
      responses.refuse(nowMillis, request, "deadline passed before sending");
      return Optional.empty();
    }
    long shareRefilledMillis = shares.retryAfterMillis(nowMillis, request);
    if (shareRefilledMillis > 0) {
      responses.refuse(nowMillis, request, shareRefilledMillis, LocalShares.USED_UP_REASON);
      return Optional.empty();
    }
    Set<UpstreamId> withSuspects =
        crashGuard.upstreamsClosedTo(request, responses.inFlight().values());
    Set<UpstreamId> excluded = new HashSet<>(request.excludedUpstreams);
    excluded.addAll(withSuspects);
    excluded.addAll(notices.closures().closed(nowMillis));
    Optional<UpstreamRegistration> selected =
        selector
            .select(nowMillis, request.service, request.key(), excluded)
            .filter(upstream -> !withSuspects.contains(upstream.id()));
    if (selected.isPresent()) {
      shares.sent(nowMillis, request);
    } else {
      responses.refuse(nowMillis, request, "no upstream in reach has room");
    }
    return selected;
  }

  /** Records the end of an attempt, also if the coordinator selected its upstream. */
  void attemptEnded(long nowMillis, InFlightRequest request, AttemptResult result) {
    UpstreamId upstream = request.upstream.id();
    selector.attemptEnded(upstream);
    if (result.completion() == Completion.UNREACHABLE) {
      selector.markUnreachable(nowMillis, upstream);
    } else if (result.status() > 0) {
      selector.markReachable(upstream);
    }
    shares.attemptEnded(nowMillis, request, result);
  }
}
