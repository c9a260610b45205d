package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** Tells from which run time on a request of a service is unusually slow. */
final class LatencyEstimator {
  private static final double SMOOTHING_FACTOR = 0.02;

  /** Deviations above the mean from which on a run time is unusual. */
  private static final double THRESHOLD_DEVIATIONS = 4;

  /** Least unusual run time. */
  private static final long MIN_THRESHOLD_MILLIS = 10;

  /** Unusual run time while nothing is known. */
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
    double off = Math.abs(runMillis - average.meanMillis);
    average.meanMillis += SMOOTHING_FACTOR * (runMillis - average.meanMillis);
    average.deviationMillis += SMOOTHING_FACTOR * (off - average.deviationMillis);
  }

  double hedgeThresholdMillis(ServiceId service) {
    Average average = averages.get(service);
    if (average == null) {
      return DEFAULT_THRESHOLD_MILLIS;
    }
    double unusual = average.meanMillis + THRESHOLD_DEVIATIONS * average.deviationMillis;
    return Math.max(MIN_THRESHOLD_MILLIS, unusual);
  }
}
