package dev.hornbeamwheel.core.time;

/**
 * Advances by the larger step of two clocks: the monotonic clock stops while the host is suspended,
 * and the time of day may be set back.
 */
final class SuspensionClock implements Clock {
  private final Clock monotonic;
  private final Clock timeOfDay;
  private long monotonicMillis;
  private long timeOfDayMillis;
  private long nowMillis;

  private SuspensionClock(Clock monotonic, Clock timeOfDay) {
    this.monotonic = monotonic;
    this.timeOfDay = timeOfDay;
    this.monotonicMillis = monotonic.millis();
    this.timeOfDayMillis = timeOfDay.millis();
    this.nowMillis = monotonicMillis;
  }

  static SuspensionClock of(Clock monotonic, Clock timeOfDay) {
    return new SuspensionClock(monotonic, timeOfDay);
  }

  @Override
  public long millis() {
    long currentMonotonic = monotonic.millis();
    long currentTimeOfDay = timeOfDay.millis();
    nowMillis += Math.max(currentMonotonic - monotonicMillis, currentTimeOfDay - timeOfDayMillis);
    monotonicMillis = currentMonotonic;
    timeOfDayMillis = currentTimeOfDay;
    return nowMillis;
  }
}
