package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * The registration of an upstream.
 *
 * @param incarnation the upstream and its start
 * @param service the service it belongs to
 * @param address address at which it listens
 * @param dataCentre data centre in which it runs
 * @param slots maximum number of requests that it runs at once
 * @param draining whether it is being drained, so that it gets no new work
 * @param coldUntilMillis time until which it is cold, on the clock of this process
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

  /** Returns whether the upstream is cold, so that it can serve only few requests. */
  public boolean cold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }
}
