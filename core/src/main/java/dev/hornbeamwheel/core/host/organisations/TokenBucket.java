package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.host.allowance.RetrySpacing;

/** A token bucket whose rate and capacity may change between calls; it may be in debt. */
final class TokenBucket {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Longest delay that is given to a refused caller, in milliseconds. */
  static final long MAX_RETRY_AFTER_MILLIS = 5_000;

  private double tokens;
  private long refilledMillis;
  private final RetrySpacing spacing = RetrySpacing.within(MAX_RETRY_AFTER_MILLIS);

  TokenBucket(long nowMillis, double tokens) {
    this.tokens = tokens;
    this.refilledMillis = nowMillis;
  }

  /** Adds the tokens of the time since the last call, up to the capacity. */
  void refill(long nowMillis, double perSecond, double capacity) {
    double earned = Math.max(0, nowMillis - refilledMillis) * perSecond / MILLIS_PER_SECOND;
    refilledMillis = Math.max(refilledMillis, nowMillis);
    tokens = Math.min(capacity, tokens + earned);
  }

  /** Takes a token; returns false if there is none. */
  boolean tryTake() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns tokens that were not used, or removes tokens if the number is negative. */
  void add(double count) {
    tokens += count;
  }

  /**
   * Returns the delay after which a refused caller finds a token, in milliseconds. Callers that are
   * refused one after the other get different times.
   */
  long retryAfterMillis(long nowMillis, double perSecond) {
    double tokenMillis = MILLIS_PER_SECOND / Math.max(perSecond, 1e-3);
    return spacing.retryAfterMillis(nowMillis, nowMillis + (1 - tokens) * tokenMillis, tokenMillis);
  }
}
