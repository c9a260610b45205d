package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.request.InFlightRequest.State;
import java.util.List;

/** Ends the requests of a host that was asked to stop, so that none is left without an answer. */
final class Shutdown {
  /** Aborts the attempt of a request at an upstream. */
  @FunctionalInterface
  interface AttemptAbort {
    /** Aborts the attempt of a running request, and frees its slot. */
    void abort(long nowMillis, InFlightRequest request);
  }

  private static final String REASON = "this host is stopping";

  private final SlotRequests slotRequests;
  private final FinalResponses responses;
  private final AttemptAbort attempts;
  private ShutdownSchedule schedule = ShutdownSchedule.none();

  Shutdown(SlotRequests slotRequests, FinalResponses responses, AttemptAbort attempts) {
    this.slotRequests = slotRequests;
    this.responses = responses;
    this.attempts = attempts;
  }

  void started(ShutdownSchedule started) {
    schedule = started;
    slotRequests.limitDeadlines(started.exitMillis());
  }

  /** Refuses a request that needs an upstream, if none may be used any more. */
  boolean refuses(long nowMillis, InFlightRequest request) {
    if (schedule.allowsSends(nowMillis)) {
      return false;
    }
    refuse(nowMillis, request);
    return true;
  }

  /** Ends the requests to which the schedule leaves no time. */
  void tick(long nowMillis) {
    if (!schedule.allowsSends(nowMillis)) {
      slotRequests.cancelIf(request -> true).forEach(request -> refuse(nowMillis, request));
    }
    if (nowMillis >= schedule.exitMillis()) {
      List.copyOf(responses.inFlight().values()).forEach(request -> breakOff(nowMillis, request));
    }
  }

  private void refuse(long nowMillis, InFlightRequest request) {
    long retryAfterMillis = FinalResponses.DEFAULT_RETRY_AFTER_MILLIS;
    responses.refuse(nowMillis, request, ErrorResponse.NOT_READY, retryAfterMillis, REASON);
  }

  private void breakOff(long nowMillis, InFlightRequest request) {
    if (request.state == State.AWAITING_SLOT) {
      refuse(nowMillis, request);
      return;
    }
    attempts.abort(nowMillis, request);
    if (request.callerDisconnected) {
      responses.finish(nowMillis, request, "caller disconnected; " + REASON);
    } else {
      responses.respondWithError(nowMillis, request, ErrorResponse.UPSTREAM_FAILED, 0, REASON);
    }
  }
}
