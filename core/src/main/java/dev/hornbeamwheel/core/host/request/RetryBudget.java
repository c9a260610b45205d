package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** How many repeated sends this host may add to the load of each service. */
final class RetryBudget {
  /** Repeated sends that each request earns. */
  private static final double EARNED = 0.15;

  /** Repeated sends that are saved at most. */
  private static final double MOST = 4;

  private final Map<ServiceId, Double> saved = new HashMap<>();

  void earn(ServiceId service) {
    saved.put(service, Math.min(MOST, saved(service) + EARNED));
  }

  boolean spend(ServiceId service) {
    double left = saved(service);
    if (left < 1) {
      return false;
    }
    saved.put(service, left - 1);
    return true;
  }

  private double saved(ServiceId service) {
    return saved.getOrDefault(service, MOST / 2);
  }
}
