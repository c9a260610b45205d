package dev.hornbeamwheel.core.host.request;

/**
 * The steps in which a host that was asked to stop ends its requests.
 *
 * <p>Each request that was read gets an answer before {@code exitMillis}, at which those that are
 * still at an upstream are broken off.
 *
 * @param drainStartMillis time from which requests that may not finish in time are refused
 * @param lastSendMillis time from which no request is sent to an upstream; those that still wait
 *     are refused
 * @param exitMillis time at which the process ends its last requests
 */
public record ShutdownSchedule(long drainStartMillis, long lastSendMillis, long exitMillis) {
  /** Time before the exit in which an upstream could hardly answer, in milliseconds. */
  private static final long LAST_SEND_MARGIN_MILLIS = 500;

  /** Rejects steps in another order. */
  public ShutdownSchedule {
    if (drainStartMillis > lastSendMillis || lastSendMillis > exitMillis) {
      throw new IllegalArgumentException(
          "the steps of a shutdown must follow one another: "
              + drainStartMillis
              + ", "
              + lastSendMillis
              + ", "
              + exitMillis);
    }
  }

  /** Returns the schedule of a host that does not stop. */
  static ShutdownSchedule none() {
    return new ShutdownSchedule(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);
  }

  /**
   * Returns the schedule of a host that stops.
   *
   * @param drainStartMillis time from which requests that may not finish in time are refused; the
   *     time of exit if it is later
   * @param exitMillis time at which the process ends its last requests
   */
  public static ShutdownSchedule of(long drainStartMillis, long exitMillis) {
    long drainStart = Math.min(drainStartMillis, exitMillis);
    long lastSend = Math.max(drainStart, exitMillis - LAST_SEND_MARGIN_MILLIS);
    return new ShutdownSchedule(drainStart, lastSend, exitMillis);
  }

  /** Returns whether requests are still sent to upstreams. */
  boolean allowsSends(long nowMillis) {
    return nowMillis < lastSendMillis;
  }

  /** Returns whether a new request with a deadline can be accepted. */
  boolean accepts(long nowMillis, long deadlineMillis) {
    return nowMillis < drainStartMillis || (allowsSends(nowMillis) && deadlineMillis <= exitMillis);
  }
}
