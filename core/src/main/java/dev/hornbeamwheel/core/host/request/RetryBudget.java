package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of this host to a fraction of its requests, for each service.
 *
 * <p>All hosts share one limit without communication: a fraction of all requests, and a number that
 * does not grow with the hosts or their starts. So a host begins with one retry, and saves up
 * little more.
 */
final class RetryBudget {
  /** Retry tokens that each new request adds. */
  private static final double TOKENS_PER_REQUEST = 0.15;

  /** Retry tokens of a service at the start of this host. */
  private static final double INITIAL_TOKENS = 1;

  /** Maximum number of retry tokens of a service. */
  private static final double MAX_TOKENS = 1.5;

  private final Map<ServiceId, Double> tokens = new HashMap<>();

  void addTokens(ServiceId service) {
    tokens.put(service, Math.min(MAX_TOKENS, tokens(service) + TOKENS_PER_REQUEST));
  }

  /** Takes one token for a retry; returns false if none is available. */
  boolean tryAcquire(ServiceId service) {
    double available = tokens(service);
    if (available < 1) {
      return false;
    }
    tokens.put(service, available - 1);
    return true;
  }

  private double tokens(ServiceId service) {
    return tokens.getOrDefault(service, INITIAL_TOKENS);
  }
}
