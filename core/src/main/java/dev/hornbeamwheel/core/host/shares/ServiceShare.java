package dev.hornbeamwheel.core.host.shares;

import dev.hornbeamwheel.core.model.ServiceId;

/**
 * A host's share of the throughput of a service.
 *
 * @param service the service
 * @param perSecond rate until the lease ends, in requests per second
 * @param minimumPerSecond rate after it, without an end, in requests per second
 */
public record ServiceShare(ServiceId service, double perSecond, double minimumPerSecond) {
  /** Creates a share; throws IllegalArgumentException if a rate is not a number from zero. */
  public ServiceShare {
    ShareRates.check(perSecond);
    ShareRates.check(minimumPerSecond);
  }
}
