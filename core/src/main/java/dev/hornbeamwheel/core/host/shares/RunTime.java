package dev.hornbeamwheel.core.host.shares;

/** Mean run time of the requests of a service, as this host has seen it. */
final class RunTime {
  /** Minimum weight of the latest run time in the mean. */
  private static final double MIN_WEIGHT = 0.1;

  private double meanMillis;
  private int samples = 1;

  private RunTime(double meanMillis) {
    this.meanMillis = meanMillis;
  }

  /**
   * Returns the run time that is assumed of an unused service.
   *
   * @param targetMillis latency target of its route, in milliseconds; run times are well below
   */
  static RunTime assumedFrom(long targetMillis) {
    return new RunTime(Math.max(1, targetMillis / 2.0));
  }

  void record(long runMillis) {
    samples++;
    meanMillis += Math.max(MIN_WEIGHT, 1.0 / samples) * (Math.max(1, runMillis) - meanMillis);
  }

  /** Returns whether a run time was seen. */
  boolean measured() {
    return samples > 1;
  }

  double meanMillis() {
    return meanMillis;
  }
}
