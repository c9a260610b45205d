package dev.hornbeamwheel.core.ownership;

/** Converts durations between clocks that each run within 1 in 100 of true time. */
final class ClockDrift {
  /** Bounds of the rate of a clock, in hundredths of true time. */
  private static final long SLOWEST = 99;

  private static final long FASTEST = 101;

  /** Covers the rounding of two readings, in milliseconds. */
  private static final long ROUNDING_MILLIS = 2;

  private ClockDrift() {}

  /** Returns a wait on one clock that lasts at least {@code millis} on any other. */
  static long safeWait(long millis) {
    return (millis * FASTEST + SLOWEST - 1) / SLOWEST + ROUNDING_MILLIS;
  }

  /** Returns what at least passes on any other clock while {@code millis} pass on one. */
  static long minElapsed(long millis) {
    return Math.max(0, millis - ROUNDING_MILLIS) * SLOWEST / FASTEST;
  }
}
