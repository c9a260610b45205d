package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** Estimates the run time above which a request of a service is slow enough to hedge. */
final class LatencyEstimator {
  private static final double SMOOTHING_FACTOR = 0.02;

  /** Mean deviations above the mean at which the threshold lies. */
  private static final double THRESHOLD_DEVIATIONS = 4;

  /** Lower bound of the threshold. */
  private static final long MIN_THRESHOLD_MILLIS = 10;

  /** Threshold of a service without samples. */
  private static final long DEFAULT_THRESHOLD_MILLIS = 1_000;

  private static final class Average {
    private double meanMillis;
    private double deviationMillis;
  }

  private final Map<ServiceId, Average> averages = new HashMap<>();

  void record(ServiceId service, long runMillis) {
    Average average = averages.get(service);
    if (average == null) {
      average = new Average();
      average.meanMillis = runMillis;
      average.deviationMillis = runMillis;
      averages.put(service, average);
    }
    double deviation = Math.abs(runMillis - average.meanMillis);
    average.meanMillis += SMOOTHING_FACTOR * (runMillis - average.meanMillis);
    average.deviationMillis += SMOOTHING_FACTOR * (deviation - average.deviationMillis);
  }

  double hedgeThresholdMillis(ServiceId service) {
    Average average = averages.get(service);
    if (average == null) {
      return DEFAULT_THRESHOLD_MILLIS;
    }
    double thresholdMillis = average.meanMillis + THRESHOLD_DEVIATIONS * average.deviationMillis;
    return Math.max(MIN_THRESHOLD_MILLIS, thresholdMillis);
  }
}
