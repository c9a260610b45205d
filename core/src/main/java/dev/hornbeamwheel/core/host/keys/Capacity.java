package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;

/** How much an upstream can do at present. */
@FunctionalInterface
public interface Capacity {
  /** Returns the requests a second that the upstream can serve; positive. */
  double requestsPerSecond(UpstreamRegistration upstream);
}
