package dev.hornbeamwheel.core.host.capacity;

/**
 * Distinguishes run times on a machine that is slow for a moment from usual ones, by the relative
 * work time that the upstream reports.
 *
 * <p>The report is compared with its own recent mean, so that a lasting increase, which may come
 * from too many requests at once, no longer counts as noise.
 */
public final class MachineNoise {
  private static final double USUAL_PERCENT = 100;

  /** Weight of the latest report in the mean. */
  private static final double WEIGHT = 0.05;

  /** Ratio to the mean above which a report counts as noise. */
  private static final double NOISE_RATIO = 1.3;

  private double meanPercent = USUAL_PERCENT;
  private boolean noisy;

  /** Returns the noise of a machine that has reported nothing. */
  public static MachineNoise create() {
    return new MachineNoise();
  }

  private MachineNoise() {}

  /** Records a report, in percent of the usual work time; zero if the response had none. */
  public void record(int workPercent) {
    noisy = false;
    if (workPercent > 0) {
      noisy = workPercent > NOISE_RATIO * meanPercent;
      meanPercent += WEIGHT * (workPercent - meanPercent);
    }
  }

  /** Returns whether the machine was unusually slow at the latest report. */
  public boolean noisy() {
    return noisy;
  }
}
