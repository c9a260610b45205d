package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;

/**
 * An upstream to which keys are assigned.
 *
 * @param incarnation the upstream and its start
 * @param address address to which orders are sent
 * @param fencingToken fencing token of its grants; each later owner has a greater one
 */
public record KeyOwner(UpstreamIncarnation incarnation, Address address, long fencingToken) {
  static KeyOwner of(UpstreamRegistration registration, long fencingToken) {
    return new KeyOwner(registration.incarnation(), registration.address(), fencingToken);
  }

  KeyOwner withFencingToken(long token) {
    return new KeyOwner(incarnation, address, token);
  }
}
