package dev.hornbeamwheel.core.host.slots;

/** An exponentially decaying estimate of an arrival rate. */
final class ArrivalRate {
  /** Time constant of the decay, in milliseconds. */
  private static final double TIME_CONSTANT_MILLIS = 2_000;

  private double decayedCount;
  private long decayedMillis;

  void recordArrival(long nowMillis) {
    decay(nowMillis);
    decayedCount += 1;
  }

  double perSecond(long nowMillis) {
    decay(nowMillis);
    return decayedCount * 1_000 / TIME_CONSTANT_MILLIS;
  }

  private void decay(long nowMillis) {
    decayedCount *= Math.exp(-(nowMillis - decayedMillis) / TIME_CONSTANT_MILLIS);
    decayedMillis = nowMillis;
  }
}
