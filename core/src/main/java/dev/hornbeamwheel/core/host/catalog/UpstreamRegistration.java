package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * An upstream as it registered itself.
 *
 * @param incarnation which start of which upstream
 * @param service the service it belongs to
 * @param address where it listens
 * @param dataCentre where it runs
 * @param slots requests that it runs at once
 * @param draining whether it is leaving
 * @param coldUntilMillis time until which it bears only few requests, on the clock of this process
 */
public record UpstreamRegistration(
    UpstreamIncarnation incarnation,
    ServiceId service,
    Address address,
    DataCentreId dataCentre,
    int slots,
    boolean draining,
    long coldUntilMillis) {
  /** Returns the id of the upstream. */
  public UpstreamId id() {
    return incarnation.id();
  }

  /** Returns whether the upstream bears only few requests now. */
  public boolean cold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }
}
