package dev.hornbeamwheel.core.host.request;

import java.util.List;

/** Refuses the requests of this host that ended upstreams before. */
final class QuarantinedRequests {
  private final CrashGuard crashGuard;
  private final SlotRequests slotRequests;
  private final FinalResponses responses;
  private final List<RequestEffect> effects;

  /**
   * Creates the refusals.
   *
   * @param effects receives the effects
   */
  QuarantinedRequests(
      CrashGuard crashGuard,
      SlotRequests slotRequests,
      FinalResponses responses,
      List<RequestEffect> effects) {
    this.crashGuard = crashGuard;
    this.slotRequests = slotRequests;
    this.responses = responses;
    this.effects = effects;
  }

  /** Refuses a request that needs an upstream, if it is quarantined. */
  boolean refuses(long nowMillis, InFlightRequest request) {
    if (!crashGuard.refuses(nowMillis, request)) {
      return false;
    }
    refuse(nowMillis, request);
    return true;
  }

  /** Records new evidence of this host, after which waiting requests may be quarantined. */
  void evidenceFound(long nowMillis, List<RequestEffect> evidence) {
    effects.addAll(evidence);
    if (!evidence.isEmpty()) {
      refuseWaiting(nowMillis);
    }
  }

  /** Refuses the requests that wait for a slot and are quarantined. */
  void refuseWaiting(long nowMillis) {
    slotRequests
        .cancelIf(request -> crashGuard.refuses(nowMillis, request))
        .forEach(request -> refuse(nowMillis, request));
  }

  private void refuse(long nowMillis, InFlightRequest request) {
    long remainingMillis = crashGuard.remainingMillis(nowMillis, request);
    responses.refuseQuarantined(nowMillis, request, remainingMillis);
  }
}
