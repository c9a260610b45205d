package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** How many repeated sends this host may add to the load of each service. */
final class RetryBudget {
  /** Repeated sends that each request earns. */
  private static final double TOKENS_PER_REQUEST = 0.15;

  /** Repeated sends that are saved at most. */
  private static final double MAX_TOKENS = 4;

  private final Map<ServiceId, Double> tokens = new HashMap<>();

  void addTokens(ServiceId service) {
    tokens.put(service, Math.min(MAX_TOKENS, tokens(service) + TOKENS_PER_REQUEST));
  }

  boolean tryAcquire(ServiceId service) {
    double left = tokens(service);
    if (left < 1) {
      return false;
    }
    tokens.put(service, left - 1);
    return true;
  }

  private double tokens(ServiceId service) {
    return tokens.getOrDefault(service, MAX_TOKENS / 2);
  }
}
