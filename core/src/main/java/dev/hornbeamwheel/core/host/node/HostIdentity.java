package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;

/**
 * What an entry host knows of itself.
 *
 * @param host name of the host
 * @param dataCentre where it runs
 * @param address where other hosts reach it
 * @param capacity how much coordinating it can bear
 * @param holdMaxMillis longest hold of keys that upstreams accept, in milliseconds
 * @param seed seed of all random choices of this start
 */
public record HostIdentity(
    HostId host,
    DataCentreId dataCentre,
    Address address,
    HostCapacity capacity,
    long holdMaxMillis,
    long seed) {}
