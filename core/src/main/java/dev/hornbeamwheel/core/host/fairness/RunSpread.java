package dev.hornbeamwheel.core.host.fairness;

/** The mean absolute deviation of the run times of one service. */
public final class RunSpread {
  /** Weight of the latest run time in the moving average. */
  private static final double WEIGHT = 0.05;

  /** Part of the latency target that a request may wait at least, whatever its run time. */
  private static final double MIN_WAIT_FRACTION = 0.25;

  private double deviationMillis;

  /** Records a run time; both times are in milliseconds. */
  public void record(long runMillis, double meanMillis) {
    deviationMillis += WEIGHT * (Math.abs(runMillis - meanMillis) - deviationMillis);
  }

  /**
   * Returns the time before its target at which a request must start to be answered in time with
   * high probability, in milliseconds: the mean run time plus the deviation.
   *
   * @param targetMillis latency target, in milliseconds from arrival
   */
  public double marginMillis(double meanMillis, long targetMillis) {
    double limit = Math.max(meanMillis, targetMillis * (1 - MIN_WAIT_FRACTION));
    return Math.min(meanMillis + deviationMillis, limit);
  }
}
