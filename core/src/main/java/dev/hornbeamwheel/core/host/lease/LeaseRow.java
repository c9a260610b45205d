package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.model.HostId;

/**
 * The lease as stored in the store.
 *
 * @param term number of the term; increases with each acquisition, and contains the era of the
 *     store ({@link dev.hornbeamwheel.core.host.catalog.EraNumber})
 * @param holder host that holds the lease
 * @param address address at which hosts reach the holder
 * @param validUntilStoreMillis expiry time of the lease on the store's clock
 * @param bestCapacity greatest capacity of a host known to the holder
 * @param fleetSize number of hosts of the fleet, as known to the holder; zero if unknown, as it is
 *     while the fleet of a new store connects
 */
public record LeaseRow(
    long term,
    HostId holder,
    Address address,
    long validUntilStoreMillis,
    HostCapacity bestCapacity,
    int fleetSize) {}
