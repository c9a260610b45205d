package dev.hornbeamwheel.core.host.fairness;

/**
 * Compares a late response to one request with an on-time response to another.
 *
 * <p>The configuration has no value of a late response. It is estimated as the latency target
 * divided by the deadline: a caller who waits for many times the target gets little from a late
 * response, one whose deadline follows closely still needs it.
 */
public final class LateValue {
  /** Refused callers wait at most their remaining time divided by this. */
  public static final int RETRY_AFTER_DIVISOR = 3;

  private LateValue() {}

  /**
   * Returns the value of a late response relative to one in time, from 0 to 1.
   *
   * @param targetMillis latency target, in milliseconds from arrival
   * @param deadlineMillis deadline, in milliseconds from arrival
   */
  public static double of(long targetMillis, long deadlineMillis) {
    return deadlineMillis <= 0
        ? 0
        : Math.max(0, Math.min(1, targetMillis / (double) deadlineMillis));
  }

  /**
   * Returns whether a request that can no longer be answered in time is refused before its deadline
   * is at risk: it would not start before its caller could be back, and a caller who comes back has
   * time for another run.
   *
   * @param startMillis expected wait for a slot behind the requests that take precedence
   * @param remainingMillis time until the deadline
   * @param runMillis expected run time
   */
  public static boolean refuseEarly(long startMillis, long remainingMillis, double runMillis) {
    long returnMillis = remainingMillis / RETRY_AFTER_DIVISOR;
    return startMillis > returnMillis && remainingMillis - returnMillis > runMillis;
  }
}
