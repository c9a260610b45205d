package dev.hornbeamwheel.core.ownership;

/** Converts durations between clocks whose rates each deviate by at most 1% from real time. */
final class ClockDrift {
  /** Bounds of a clock's rate, in percent of real time. */
  private static final long SLOWEST_PERCENT = 99;

  private static final long FASTEST_PERCENT = 101;

  /** Covers the rounding of two clock readings to milliseconds. */
  private static final long ROUNDING_MILLIS = 2;

  private ClockDrift() {}

  /** Returns how long to wait on one clock so that at least {@code millis} pass on any other. */
  static long safeWait(long millis) {
    return (millis * FASTEST_PERCENT + SLOWEST_PERCENT - 1) / SLOWEST_PERCENT + ROUNDING_MILLIS;
  }

  /** Returns the least time that passes on any other clock while {@code millis} pass on one. */
  static long minElapsed(long millis) {
    return Math.max(0, millis - ROUNDING_MILLIS) * SLOWEST_PERCENT / FASTEST_PERCENT;
  }
}
