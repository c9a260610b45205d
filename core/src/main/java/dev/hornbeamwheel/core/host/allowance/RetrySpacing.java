package dev.hornbeamwheel.core.host.allowance;

/** Times at which refused callers should return: one after another, as tokens become available. */
public final class RetrySpacing {
  /** Fractional part of the golden ratio; its multiples are spread evenly over an interval. */
  private static final double SPREAD = 0.6180339887498949;

  private final long maxMillis;
  private double lastReturnMillis = Long.MIN_VALUE / 2;
  private double spread;

  private RetrySpacing(long maxMillis) {
    this.maxMillis = maxMillis;
  }

  /** Returns the spacing of callers who return within a time, in milliseconds. */
  public static RetrySpacing within(long maxMillis) {
    return new RetrySpacing(maxMillis);
  }

  /**
   * Returns the time after which the next caller should return, in milliseconds. Callers for whom
   * there is no token within the maximum are spread over its second half, so that they do not
   * return all at once.
   *
   * @param tokenMillis time at which a token is available to the first caller
   * @param intervalMillis time between two tokens, in milliseconds
   */
  public long retryAfterMillis(long nowMillis, double tokenMillis, double intervalMillis) {
    double next = Math.max(tokenMillis, lastReturnMillis + intervalMillis);
    if (next <= (double) nowMillis + maxMillis) {
      lastReturnMillis = next;
      return Math.max(1, (long) Math.ceil(next - nowMillis));
    }
    spread = (spread + SPREAD) % 1;
    return (long) Math.ceil(maxMillis * (1 + spread) / 2);
  }
}
