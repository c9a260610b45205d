package dev.hornbeamwheel.core.host.fairness;

/**
 * An estimate of a high quantile of positive values, which moves by a small step for each value.
 *
 * <p>A single outlier moves it by one step. The tenth of the values that are highest keeps it up,
 * so that refused callers who come back with less time left do not lower it.
 */
public final class HighQuantile {
  private static final double QUANTILE = 0.9;

  /** Relative size of both steps together; an estimate that is ten times too high takes 230. */
  private static final double STEP = 0.1;

  private double value;

  /** Records a value; the first one is the estimate. */
  public void record(long latest) {
    double sample = (double) latest;
    if (value <= 0) {
      value = sample;
    } else if (sample > value) {
      value = Math.min(sample, value * (1 + STEP * QUANTILE));
    } else {
      value = Math.max(sample, value * (1 - STEP * (1 - QUANTILE)));
    }
  }

  /** Returns the estimate; zero before the first positive value. */
  public double value() {
    return value;
  }
}
