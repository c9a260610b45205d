package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests in flight, and how each of them ends: with one response, or discarded. */
final class FinalResponses {
  /** Retry delay sent to a caller when no estimate is available, in milliseconds. */
  static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

  private final Map<RequestRef, InFlightRequest> inFlight = new HashMap<>();
  private final List<RequestEffect> effects;
  private final RequestLog log;

  /**
   * Creates the responses.
   *
   * @param effects receives the effects
   */
  FinalResponses(Catalog catalog, List<RequestEffect> effects) {
    this.effects = effects;
    this.log = new RequestLog(catalog);
  }

  /** Returns the requests that have no final response yet, as a mutable map. */
  Map<RequestRef, InFlightRequest> inFlight() {
    return inFlight;
  }

  RequestLog log() {
    return log;
  }

  /** Rejects a request before it is routed. */
  void rejectUnrouted(RequestRef ref, RequestHead head, ErrorResponse error) {
    long retryAfterMillis = error == ErrorResponse.NOT_READY ? DEFAULT_RETRY_AFTER_MILLIS : 0;
    effects.add(new RequestEffect.RespondWithError(ref, error, retryAfterMillis, false));
    effects.add(log.unrouted(head, error));
  }

  /**
   * Responds to a request that gets no slot. The response of a request that may have run in an
   * earlier attempt does not report it as not run.
   */
  void refuse(long nowMillis, InFlightRequest request, long retryAfterMillis, String reason) {
    refuse(nowMillis, request, ErrorResponse.NO_ROOM, retryAfterMillis, reason);
  }

  /** Responds to a request that gets no slot with an error that says why. */
  void refuse(
      long nowMillis,
      InFlightRequest request,
      ErrorResponse error,
      long retryAfterMillis,
      String reason) {
    if (request.mayHaveRun) {
      respondWithError(nowMillis, request, ErrorResponse.UPSTREAM_FAILED, 0, reason);
    } else {
      respondWithError(nowMillis, request, error, retryAfterMillis, reason);
    }
  }

  /** Responds to a request that gets no slot, and for which no retry delay is known. */
  void refuse(long nowMillis, InFlightRequest request, String reason) {
    refuse(nowMillis, request, DEFAULT_RETRY_AFTER_MILLIS, reason);
  }

  /** Rejects a request that ended upstreams before; the response promises nothing. */
  void refuseQuarantined(long nowMillis, InFlightRequest request, long remainingMillis) {
    String reason = "ended upstreams before; refused for " + remainingMillis + " ms";
    respondWithError(nowMillis, request, ErrorResponse.QUARANTINED, 0, reason);
  }

  /** Forwards the upstream's response, unless it makes a promise that the upstream did not make. */
  void forward(long nowMillis, InFlightRequest request, AttemptResult result) {
    if (result.promisesNotRun() && !request.idempotent()) {
      respondWithError(nowMillis, request, ErrorResponse.UPSTREAM_FAILED, 0, "may have run");
    } else {
      effects.add(new RequestEffect.ForwardResponse(request.ref));
      finish(nowMillis, request, "answered " + result.status());
    }
  }

  void respondWithError(
      long nowMillis,
      InFlightRequest request,
      ErrorResponse error,
      long retryAfterMillis,
      String reason) {
    effects.add(
        new RequestEffect.RespondWithError(
            request.ref, error, retryAfterMillis, request.decidedByCoordinator));
    inFlight.remove(request.ref);
    effects.add(log.failed(nowMillis, request, error, retryAfterMillis, reason));
  }

  /** Ends a request that needs no error response. */
  void finish(long nowMillis, InFlightRequest request, String outcome) {
    inFlight.remove(request.ref);
    if (request.callerDisconnected) {
      effects.add(new RequestEffect.Discard(request.ref));
    }
    effects.add(log.ended(nowMillis, request, outcome));
  }
}
