package dev.hornbeamwheel.bench.policy;

/**
 * One measured situation.
 *
 * @param upstreams upstreams with two slots each
 * @param load offered work over the slots' capacity
 * @param seconds virtual time that is measured
 * @param dispatcherLost whether the dispatcher is lost halfway
 */
record Workload(int upstreams, double load, int seconds, boolean dispatcherLost) {
  static final int ROUTERS = 8;
  static final int SLOTS = 2;
  static final double MEAN_SERVICE_MICROS = 20_000;
  static final long DEADLINE_MILLIS = 1_000;
  static final long HOP_MICROS = 500;
  static final int SLOW_FACTOR = 8;
  static final long SLOW_MICROS = 400_000;
  static final long SLOW_EVERY_MICROS = 2_000_000;
  static final long LOAD_REPORT_MICROS = 100_000;

  /** Returns the mean time between two requests. */
  double meanGapMicros() {
    return MEAN_SERVICE_MICROS / (load * upstreams * SLOTS);
  }
}
