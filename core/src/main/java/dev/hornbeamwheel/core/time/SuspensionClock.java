package dev.hornbeamwheel.core.time;

/**
 * A monotonic clock that also counts the time for which the host was suspended.
 *
 * <p>The monotonic source stops while the host is suspended; the time of day does not, so its lead
 * over the monotonic source grows. Apart from suspensions the clock advances exactly as its
 * monotonic source. A time of day that is set forward cannot be told from a suspension and is
 * counted as one; {@link #suspendedMillis()} reports what was counted.
 */
public final class SuspensionClock implements Clock {
  /**
   * Shortest suspension that is counted, in milliseconds. The sources are cut to whole milliseconds
   * at different moments, so a smaller growth of the lead does not show that the host was
   * suspended; it is not lost, but counted together with later growth.
   */
  static final long MIN_SUSPENSION_MILLIS = 20;

  /** Longest duration of a reading of both sources that compares them, in milliseconds. */
  private static final long MAX_READING_MILLIS = 1;

  /** Maximum number of times that the sources are read until a reading compares them. */
  private static final int MAX_READINGS = 3;

  private final Clock monotonic;
  private final Clock timeOfDay;

  /** Lead of the time of day over the monotonic source, without later suspensions. */
  private long baseLeadMillis;

  private long suspendedMillis;

  private SuspensionClock(Clock monotonic, Clock timeOfDay) {
    this.monotonic = monotonic;
    this.timeOfDay = timeOfDay;
    this.baseLeadMillis = timeOfDay.millis() - monotonic.millis();
  }

  /**
   * Returns a clock that has counted no suspension yet; not safe for use by several threads.
   *
   * @param monotonic source that never goes back and stops while the host is suspended
   * @param timeOfDay source that continues while the host is suspended and may be set
   */
  public static SuspensionClock of(Clock monotonic, Clock timeOfDay) {
    return new SuspensionClock(monotonic, timeOfDay);
  }

  @Override
  public long millis() {
    long monotonicMillis = monotonic.millis();
    for (int i = 0; i < MAX_READINGS; i++) {
      long timeOfDayMillis = timeOfDay.millis();
      long startMillis = monotonicMillis;
      monotonicMillis = monotonic.millis();
      // A longer reading was interrupted, so its two values are of different moments.
      if (monotonicMillis - startMillis <= MAX_READING_MILLIS) {
        updateSuspended(timeOfDayMillis - monotonicMillis);
        break;
      }
    }
    return monotonicMillis + suspendedMillis;
  }

  private void updateSuspended(long leadMillis) {
    long growthMillis = leadMillis - baseLeadMillis;
    if (growthMillis < 0) {
      baseLeadMillis = leadMillis;
    } else if (growthMillis >= MIN_SUSPENSION_MILLIS) {
      baseLeadMillis = leadMillis;
      suspendedMillis += growthMillis;
    }
  }

  /** Returns the suspensions that the readings so far include, in milliseconds. */
  public long suspendedMillis() {
    return suspendedMillis;
  }
}
