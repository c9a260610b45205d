package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of this host to a fraction of its requests, for each service.
 *
 * <p>All hosts share one limit without communication: a fraction of all requests, and a number that
 * does not grow with the hosts or their starts. So a host begins with one retry, and saves up fewer
 * the more hosts there are.
 */
final class RetryBudget {
  /** Retry tokens that each new request adds. */
  private static final double TOKENS_PER_REQUEST = 0.15;

  /** Retry tokens of a service at the start of this host. */
  private static final double INITIAL_TOKENS = 1;

  /** Retry tokens of a service that all hosts together save up, unless they are very many. */
  private static final double FLEET_TOKENS = 150;

  /** Maximum number of retry tokens of a service at any number of hosts. */
  private static final double MIN_SAVED_TOKENS = 1.5;

  /** Maximum number of retry tokens of a service at a few hosts. */
  private static final double MAX_SAVED_TOKENS = 4;

  private final Map<ServiceId, Double> tokens = new HashMap<>();
  private double maxTokens = MIN_SAVED_TOKENS;
  private int hostCount;

  /**
   * Takes over the number of hosts that are connected to the coordinator. The greatest one counts,
   * since a new coordinator is told of its hosts one after the other.
   */
  void updateHostCount(int connectedHosts) {
    hostCount = Math.max(hostCount, Math.max(1, connectedHosts));
    double share = FLEET_TOKENS / hostCount;
    maxTokens = Math.max(MIN_SAVED_TOKENS, Math.min(MAX_SAVED_TOKENS, share));
  }

  void addTokens(ServiceId service) {
    tokens.put(service, Math.min(maxTokens, tokens(service) + TOKENS_PER_REQUEST));
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
