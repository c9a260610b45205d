package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.ServiceId;

/** Decides whether a request may be sent to another upstream. */
final class RetryPolicy {
  /** Maximum number of attempts for one request, including those that the upstream refused. */
  private static final int MAX_SENDS = 3;

  /** A retry requires at least the route's latency target divided by this before the deadline. */
  private static final long MIN_RETRY_TARGET_DIVISOR = 4;

  private final RetryBudget budget = new RetryBudget();

  /** Counts a new request, which earns its service a part of a retry. */
  void requestArrived(ServiceId service) {
    budget.addTokens(service);
  }

  /** Takes over the number of hosts that are connected to the coordinator. */
  void fleetSizeReported(int hosts) {
    budget.fleetSizeReported(hosts);
  }

  /** Returns whether the request was sent less often than is allowed. */
  boolean hasSendsLeft(InFlightRequest request) {
    return request.sendCount < MAX_SENDS;
  }

  /** Takes a retry from the budget of the service; returns false if there is none left. */
  boolean tryAcquire(InFlightRequest request) {
    return hasSendsLeft(request) && budget.tryAcquire(request.service);
  }

  /** Takes a retry for a request that may have run; returns false if it must not run again. */
  boolean tryAcquireAfterRun(long nowMillis, InFlightRequest request, AttemptResult result) {
    long remainingMillis = request.deadlineMillis - nowMillis;
    return request.idempotent()
        && request.possibleRunCount < request.route.maxAttempts()
        && remainingMillis >= request.route.targetLatencyMillis() / MIN_RETRY_TARGET_DIVISOR
        && result.completion() != Completion.TIMED_OUT
        && tryAcquire(request);
  }
}
