package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of this host to a fraction of its requests, for each service.
 *
 * <p>Beside that fraction, all hosts together have a fixed number of tokens, which the hosts share
 * by their number. A host that has just started can retry twice at once without knowing it.
 */
final class RetryBudget {
  /** Retry tokens that each new request adds. */
  private static final double TOKENS_PER_REQUEST = 0.15;

  /** Maximum number of retry tokens of a service on a host of a small fleet. */
  private static final double MAX_TOKENS = 4;

  /** Retry tokens of a service that all hosts together may have; 25 hosts have the maximum. */
  private static final double FLEET_TOKENS = 100;

  /**
   * Maximum number of retry tokens of a service on a host of a large fleet, or of one whose size is
   * unknown; low enough for a fleet in which all hosts have restarted.
   */
  private static final double MIN_TOKENS = 1.5;

  /** Retry tokens of a service at the start of this process. */
  private static final double START_TOKENS = 2;

  /** Number of requests of a service in which the tokens of the start can be used. */
  private static final int START_REQUESTS = 20;

  private static final class Tokens {
    private double available = START_TOKENS;
    private int requests;
  }

  private final Map<ServiceId, Tokens> tokens = new HashMap<>();
  private int fleetSize;

  /** Takes over the number of hosts that are connected to the coordinator. */
  void fleetSizeReported(int hosts) {
    fleetSize = hosts;
  }

  void addTokens(ServiceId service) {
    Tokens earned = tokens(service);
    earned.requests++;
    earned.available = Math.min(maxTokens(earned), earned.available + TOKENS_PER_REQUEST);
  }

  /** Takes one token for a retry; returns false if none is available. */
  boolean tryAcquire(ServiceId service) {
    Tokens earned = tokens(service);
    if (earned.available < 1) {
      return false;
    }
    earned.available -= 1;
    return true;
  }

  private double maxTokens(Tokens earned) {
    double share = fleetSize > 0 ? FLEET_TOKENS / fleetSize : MIN_TOKENS;
    double shared = Math.min(MAX_TOKENS, Math.max(MIN_TOKENS, share));
    return earned.requests <= START_REQUESTS ? Math.max(START_TOKENS, shared) : shared;
  }

  private Tokens tokens(ServiceId service) {
    return tokens.computeIfAbsent(service, id -> new Tokens());
  }
}
