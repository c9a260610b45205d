package dev.hornbeamwheel.core.host.shares;

/** An exponentially decaying estimate of the requests of a host's callers. */
final class DemandRate {
  /**
   * Time constant of the decay, in milliseconds. A host has a few requests per second, whose rate
   * over some seconds varies by a third; and demand may come in waves of 13 s.
   */
  private static final double TIME_CONSTANT_MILLIS = 30_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final long startMillis;
  private double decayedCount;
  private long decayedMillis;

  private DemandRate(long startMillis) {
    this.startMillis = startMillis;
    this.decayedMillis = startMillis;
  }

  static DemandRate startingAt(long nowMillis) {
    return new DemandRate(nowMillis);
  }

  void recordArrival(long nowMillis) {
    decay(nowMillis);
    decayedCount += 1;
  }

  /** Returns the rate; before the time constant has passed, that since the start. */
  double perSecond(long nowMillis) {
    decay(nowMillis);
    double coveredMillis =
        TIME_CONSTANT_MILLIS
            * -Math.expm1(
                -Math.max(MILLIS_PER_SECOND, (double) nowMillis - startMillis)
                    / TIME_CONSTANT_MILLIS);
    return decayedCount * MILLIS_PER_SECOND / coveredMillis;
  }

  private void decay(long nowMillis) {
    decayedCount *= Math.exp(-(nowMillis - decayedMillis) / TIME_CONSTANT_MILLIS);
    decayedMillis = nowMillis;
  }
}
