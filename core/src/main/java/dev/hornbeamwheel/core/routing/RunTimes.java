package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** Tells from which run time on a request of a service is unusually slow. */
final class RunTimes {
  private static final double WEIGHT = 0.02;

  /** Deviations above the mean from which on a run time is unusual. */
  private static final double UNUSUAL_DEVIATIONS = 4;

  /** Least unusual run time. */
  private static final long LEAST_UNUSUAL_MILLIS = 10;

  /** Unusual run time while nothing is known. */
  private static final long UNKNOWN_MILLIS = 1_000;

  private static final class Average {
    private double meanMillis;
    private double deviationMillis;
  }

  private final Map<ServiceId, Average> averages = new HashMap<>();

  void add(ServiceId service, long runMillis) {
    Average average = averages.get(service);
    if (average == null) {
      average = new Average();
      average.meanMillis = runMillis;
      average.deviationMillis = runMillis;
      averages.put(service, average);
    }
    double off = Math.abs(runMillis - average.meanMillis);
    average.meanMillis += WEIGHT * (runMillis - average.meanMillis);
    average.deviationMillis += WEIGHT * (off - average.deviationMillis);
  }

  double unusualMillis(ServiceId service) {
    Average average = averages.get(service);
    if (average == null) {
      return UNKNOWN_MILLIS;
    }
    double unusual = average.meanMillis + UNUSUAL_DEVIATIONS * average.deviationMillis;
    return Math.max(LEAST_UNUSUAL_MILLIS, unusual);
  }
}
