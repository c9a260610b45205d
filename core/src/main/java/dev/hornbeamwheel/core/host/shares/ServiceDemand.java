package dev.hornbeamwheel.core.host.shares;

import dev.hornbeamwheel.core.model.ServiceId;

/**
 * What a host needs of a service, and what it holds.
 *
 * @param service the service
 * @param perSecond requests that callers sent to this host lately, per second
 * @param heldPerSecond rate of the lease that the host holds, in requests per second; zero if none
 * @param minimumPerSecond rate that the host uses without a lease, in requests per second
 */
public record ServiceDemand(
    ServiceId service, double perSecond, double heldPerSecond, double minimumPerSecond) {
  /** Creates a demand; throws IllegalArgumentException if a rate is not a number from zero. */
  public ServiceDemand {
    ShareRates.check(perSecond);
    ShareRates.check(heldPerSecond);
    ShareRates.check(minimumPerSecond);
  }
}
