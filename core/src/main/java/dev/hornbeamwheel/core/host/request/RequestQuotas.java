package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.organisations.HostQuotas;
import dev.hornbeamwheel.core.host.organisations.QuotaLease;
import java.util.List;
import java.util.OptionalLong;

/** Applies the quotas of organisations to the requests of this host. */
final class RequestQuotas {
  private static final String REASON = "quota of the organisation is used up";

  private final HostQuotas quotas;
  private final CoordinatorContact coordinator;
  private final FinalResponses responses;
  private final List<RequestEffect> effects;

  /**
   * Creates the quotas.
   *
   * @param effects receives the effects
   */
  RequestQuotas(
      HostQuotas quotas,
      CoordinatorContact coordinator,
      FinalResponses responses,
      List<RequestEffect> effects) {
    this.quotas = quotas;
    this.coordinator = coordinator;
    this.responses = responses;
    this.effects = effects;
  }

  /** Counts a new request in the demand of its organisation. */
  void requestArrived(long nowMillis, InFlightRequest request) {
    request.organisation().ifPresent(id -> quotas.requestArrived(nowMillis, id));
  }

  /** Makes this host known to a coordinator to which it has just connected. */
  void coordinatorConnected(long nowMillis) {
    quotas.coordinatorConnected();
    renewLease(nowMillis);
  }

  /** Requests the renewal of the lease if it is due. */
  void renewLease(long nowMillis) {
    if (coordinator.usable(nowMillis)) {
      quotas
          .leaseRequestDue(nowMillis)
          .map(RequestEffect.RequestQuotaLease::new)
          .ifPresent(effects::add);
    }
  }

  void leaseGranted(QuotaLease lease) {
    quotas.granted(lease);
  }

  /** Records that the coordinator decides on requests. */
  void coordinatorUsed() {
    quotas.coordinatorUsed();
  }

  /** Refuses a request that this host must not send without the coordinator; returns whether so. */
  boolean refusesLocally(long nowMillis, InFlightRequest request) {
    OptionalLong retryAfter =
        request.organisation().isEmpty()
            ? OptionalLong.empty()
            : quotas.refusal(nowMillis, request.organisation().get());
    retryAfter.ifPresent(
        millis ->
            responses.refuse(nowMillis, request, ErrorResponse.QUOTA_EXCEEDED, millis, REASON));
    return retryAfter.isPresent();
  }

  /** Counts a request that is sent, unless the coordinator has counted it. */
  void requestSent(InFlightRequest request) {
    if (!request.decidedByCoordinator) {
      request.organisation().ifPresent(quotas::sent);
    }
  }
}
