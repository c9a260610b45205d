package dev.hornbeamwheel.core.time;

/** A clock that moves only when it is told to, for virtual time. */
public final class ManualClock implements Clock {
  private long nowMillis;

  private ManualClock(long startMillis) {
    this.nowMillis = startMillis;
  }

  /** Returns a clock that reads {@code startMillis}. */
  public static ManualClock startingAt(long startMillis) {
    return new ManualClock(startMillis);
  }

  /**
   * Moves the clock forward.
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
