package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.shares.ShareAllowance;
import dev.hornbeamwheel.core.host.shares.SharedService;
import dev.hornbeamwheel.core.host.slots.Completion;

/** Applies this host's shares of services to its requests. */
final class LocalShares {
  static final String USED_UP_REASON = "this host's share of the service is used up";

  private final Catalog catalog;
  private final ShareAllowance allowance;

  LocalShares(Catalog catalog, ShareAllowance allowance) {
    this.catalog = catalog;
    this.allowance = allowance;
  }

  ShareAllowance allowance() {
    return allowance;
  }

  /** Counts a new request in the demand for its service. */
  void arrived(long nowMillis, InFlightRequest request) {
    allowance.recordArrival(nowMillis, capacity(request));
  }

  /**
   * Returns the time after which a request that this host must refuse should be repeated, in
   * milliseconds; zero if it may be sent without the coordinator now.
   */
  long retryAfterMillis(long nowMillis, InFlightRequest request) {
    return allowance.retryAfterMillis(nowMillis, capacity(request));
  }

  /** Records a request that is sent without the coordinator. */
  void sent(long nowMillis, InFlightRequest request) {
    allowance.recordSend(nowMillis, capacity(request));
  }

  void attemptEnded(long nowMillis, InFlightRequest request, AttemptResult result) {
    if (result.completion() == Completion.SERVED) {
      allowance.recordRun(request.service, nowMillis - request.sentMillis);
    }
  }

  private SharedService capacity(InFlightRequest request) {
    return new SharedService(
        request.service, catalog.usable(request.service), request.route.targetLatencyMillis());
  }
}
