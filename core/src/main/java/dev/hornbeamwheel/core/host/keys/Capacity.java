package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;

/** Estimates the current capacity of upstreams. */
@FunctionalInterface
public interface Capacity {
  /** Returns the requests per second that the upstream can serve; positive. */
  double requestsPerSecond(UpstreamRegistration upstream);
}
