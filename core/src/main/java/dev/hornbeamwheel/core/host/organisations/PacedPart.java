package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.host.allowance.RetrySpacing;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Requests that one host may send without a coordinator, out of a part of a quota.
 *
 * <p>The part of a host may be far less than one request in its lifetime. Each host therefore
 * starts at a random fraction of a token, so that the expected number of tokens of all hosts is
 * exactly the sum of their parts. An unused token expires, so that idle hosts do not collect one
 * token each and spend all of them at once.
 */
final class PacedPart {
  /** Time for which a token can be used, in milliseconds. */
  static final long TOKEN_LIFETIME_MILLIS = 2_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Deque<Double> tokenMillis = new ArrayDeque<>();
  private final RetrySpacing spacing = RetrySpacing.within(TokenBucket.MAX_RETRY_AFTER_MILLIS);
  private double fraction;
  private long earnedMillis;

  /**
   * Creates a part without tokens.
   *
   * @param fraction fraction of a token at the start, random and uniform in [0, 1)
   */
  PacedPart(long nowMillis, double fraction) {
    this.earnedMillis = nowMillis;
    this.fraction = fraction;
  }

  /**
   * Returns whether a request may be sent now; {@code perSecond} is the rate since the last call.
   */
  boolean ready(long nowMillis, double perSecond) {
    earn(nowMillis, perSecond);
    return !tokenMillis.isEmpty();
  }

  /** Records a request that is sent. */
  void take() {
    tokenMillis.pollFirst();
  }

  /** Returns the delay after which a refused caller finds a token, in milliseconds. */
  long retryAfterMillis(long nowMillis, double perSecond) {
    double intervalMillis = MILLIS_PER_SECOND / Math.max(perSecond, 1e-6);
    return spacing.retryAfterMillis(
        nowMillis, nowMillis + (1 - fraction) * intervalMillis, intervalMillis);
  }

  private void earn(long nowMillis, double perSecond) {
    double expired = (double) nowMillis - TOKEN_LIFETIME_MILLIS;
    if (nowMillis > earnedMillis && perSecond > 0) {
      double perMilli = perSecond / MILLIS_PER_SECOND;
      double total = fraction + (nowMillis - earnedMillis) * perMilli;
      long whole = (long) total;
      // Tokens that were earned before the lifetime of a token have expired already.
      long first = Math.max(1, whole - (long) (TOKEN_LIFETIME_MILLIS * perMilli) - 1);
      for (long token = first; token <= whole; token++) {
        tokenMillis.add(earnedMillis + (token - fraction) / perMilli);
      }
      fraction = total - whole;
    }
    earnedMillis = Math.max(earnedMillis, nowMillis);
    while (!tokenMillis.isEmpty() && tokenMillis.peekFirst() <= expired) {
      tokenMillis.removeFirst();
    }
  }
}
