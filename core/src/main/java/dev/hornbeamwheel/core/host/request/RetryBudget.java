package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** Limits the retries of this host to a fraction of its requests, for each service. */
final class RetryBudget {
  /** Retry tokens that each new request adds. */
  private static final double TOKENS_PER_REQUEST = 0.15;

  /** Maximum number of retry tokens of a service; it starts with half of them. */
  private static final double MAX_TOKENS = 4;

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
    return tokens.getOrDefault(service, MAX_TOKENS / 2);
  }
}
