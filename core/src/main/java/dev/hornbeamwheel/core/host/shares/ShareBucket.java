package dev.hornbeamwheel.core.host.shares;

import dev.hornbeamwheel.core.host.allowance.RetrySpacing;

/** Token bucket of one service, which spaces the callers that it refuses. */
final class ShareBucket {
  /** Maximum time after which a refused caller is told to return, in milliseconds. */
  static final long MAX_RETRY_AFTER_MILLIS = 10_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private double tokens;
  private long refilledMillis;
  private final RetrySpacing spacing = RetrySpacing.within(MAX_RETRY_AFTER_MILLIS);

  private ShareBucket(double tokens, long nowMillis) {
    this.tokens = tokens;
    this.refilledMillis = nowMillis;
  }

  /** Returns a full bucket. */
  static ShareBucket full(long nowMillis, double depth) {
    return new ShareBucket(depth, nowMillis);
  }

  /**
   * Adds the tokens since the last call.
   *
   * @param perSecond rate, in requests per second
   * @param depth maximum number of tokens; a bucket that has more of them keeps them
   */
  void refill(long nowMillis, double perSecond, double depth) {
    double added = Math.max(0, nowMillis - refilledMillis) * perSecond / MILLIS_PER_SECOND;
    tokens = Math.max(tokens, Math.min(depth, tokens + added));
    refilledMillis = Math.max(refilledMillis, nowMillis);
  }

  boolean available() {
    return tokens >= 1;
  }

  void take() {
    tokens -= 1;
  }

  /**
   * Returns the time after which a refused caller finds a token, in milliseconds. Callers that are
   * refused one after another get times as far apart as tokens.
   */
  long retryAfterMillis(long nowMillis, double perSecond) {
    double intervalMillis = MILLIS_PER_SECOND / perSecond;
    double refilled = nowMillis + Math.max(0, 1 - tokens) * intervalMillis;
    return spacing.retryAfterMillis(nowMillis, refilled, intervalMillis);
  }
}
