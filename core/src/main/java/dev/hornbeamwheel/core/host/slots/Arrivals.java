package dev.hornbeamwheel.core.host.slots;

/** How many asks a second came of late; older ones count less and less. */
final class Arrivals {
  /** Time constant, in milliseconds. */
  private static final double SPAN_MILLIS = 2_000;

  private double count;
  private long countedMillis;

  void add(long nowMillis) {
    decay(nowMillis);
    count += 1;
  }

  double perSecond(long nowMillis) {
    decay(nowMillis);
    return count * 1_000 / SPAN_MILLIS;
  }

  private void decay(long nowMillis) {
    count *= Math.exp(-(nowMillis - countedMillis) / SPAN_MILLIS);
    countedMillis = nowMillis;
  }
}
