package dev.hornbeamwheel.core.host.capacity;

/** The run times of one upstream relative to the mean of its service, as a moving average. */
final class UpstreamSlowness {
  /** Weight of the latest run time; a second of ten requests replaces most of the average. */
  private static final double WEIGHT = 0.1;

  private static final double MIN_VALUE = 0.01;

  private double value = 1;

  double value() {
    return value;
  }

  /** Records a relative run time; {@code confidence} from zero to one scales its weight. */
  void record(double relativeRun, double confidence) {
    value = Math.max(MIN_VALUE, value + WEIGHT * confidence * (relativeRun - value));
  }
}
