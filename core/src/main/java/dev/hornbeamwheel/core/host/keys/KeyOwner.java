package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.catalog.UpstreamLife;

/**
 * An upstream that was given keys.
 *
 * @param life which start of which upstream
 * @param address where it takes orders
 * @param fence fencing token of the grant; greater for each later owner
 */
public record KeyOwner(UpstreamLife life, Address address, long fence) {
  static KeyOwner of(UpstreamEntry entry, long fence) {
    return new KeyOwner(entry.life(), entry.address(), fence);
  }
}
