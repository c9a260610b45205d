package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;

/**
 * An upstream that was given keys.
 *
 * @param incarnation which start of which upstream
 * @param address where it takes orders
 * @param fencingToken fencing token of the grant; greater for each later owner
 */
public record KeyOwner(UpstreamIncarnation incarnation, Address address, long fencingToken) {
  static KeyOwner of(UpstreamRegistration entry, long fence) {
    return new KeyOwner(entry.incarnation(), entry.address(), fence);
  }
}
