package dev.hornbeamwheel.core.time;

/** A clock that advances only on request, for simulations. */
public final class ManualClock implements Clock {
  private long nowMillis;

  private ManualClock(long startMillis) {
    this.nowMillis = startMillis;
  }

  /** Returns a clock whose first reading is {@code startMillis}. */
  public static ManualClock startingAt(long startMillis) {
    return new ManualClock(startMillis);
  }

  /**
   * Advances the clock by the given time, in milliseconds.
   *
   * @throws IllegalArgumentException if {@code millis} is negative
   */
  public void advance(long millis) {
    if (millis < 0) {
      throw new IllegalArgumentException("a clock cannot go back: " + millis + " ms");
    }
    nowMillis += millis;
  }

  @Override
  public long millis() {
    return nowMillis;
  }
}
