package dev.hornbeamwheel.core.host.capacity;

/** The mean work of one kind of request: its run time at an upstream of average slowness. */
final class KindWork {
  /** Time constant of the mean run time, in milliseconds; follows a slower service in a second. */
  private static final double MEAN_MILLIS = 1_000;

  /**
   * Time constant of the reference run time, in milliseconds; much longer than a wave of demand, so
   * that the run times of a crowded service are not taken for the usual ones.
   */
  private static final double REFERENCE_MILLIS = 30_000;

  /** Limits of the weight of a sample; the lower one averages rare long runs. */
  private static final double MIN_WEIGHT = 0.01;

  private static final double MAX_WEIGHT = 0.05;

  /** Samples after which the work counts as half known when upstreams are compared by it. */
  private static final double HALF_KNOWN_SAMPLES = 8;

  /** Lower bound of the mean of the clipped ratios, which others are divided by. */
  private static final double MIN_RATIO = 0.1;

  /** Weight of a sample in the mean of the clipped ratios. */
  private static final double RATIO_WEIGHT = 0.02;

  private double meanMillis;
  private double referenceMillis;
  private double clippedRatio = 1;
  private double samples;
  private long lastMillis;

  /** Creates the work of a kind of which no request was served; {@code runMillis} is assumed. */
  KindWork(long nowMillis, double runMillis) {
    this.meanMillis = runMillis;
    this.referenceMillis = runMillis;
    this.lastMillis = nowMillis;
  }

  double meanMillis() {
    return meanMillis;
  }

  /** Returns the run time over a longer past, in milliseconds. */
  double referenceMillis() {
    return referenceMillis;
  }

  /** Returns the mean of the clipped ratios, below one because outliers are clipped. */
  double clippedRatio() {
    return clippedRatio;
  }

  /** Returns how well the work is known, from zero to one. */
  double confidence() {
    return samples / (samples + HALF_KNOWN_SAMPLES);
  }

  /**
   * Records a served request.
   *
   * @param workMillis run time divided by the slowness of the upstream, in milliseconds
   */
  void record(long nowMillis, double workMillis) {
    double sinceMillis = nowMillis - lastMillis;
    double firstWeight = 1 / (samples + 2);
    double weight = clamp(sinceMillis / MEAN_MILLIS, MIN_WEIGHT, MAX_WEIGHT);
    meanMillis += Math.max(firstWeight, weight) * (workMillis - meanMillis);
    // No lower limit: at hundreds of samples per second the weights would exceed the elapsed time.
    double slowWeight = Math.min(sinceMillis / REFERENCE_MILLIS, MAX_WEIGHT);
    referenceMillis += Math.max(firstWeight, slowWeight) * (workMillis - referenceMillis);
    samples++;
    lastMillis = nowMillis;
  }

  /** Records the ratio of a run time to the mean, clipped against outliers. */
  void recordClippedRatio(double ratio) {
    clippedRatio = Math.max(MIN_RATIO, clippedRatio + RATIO_WEIGHT * (ratio - clippedRatio));
  }

  private static double clamp(double value, double min, double max) {
    return Math.max(min, Math.min(max, value));
  }
}
