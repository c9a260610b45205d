package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.model.HostId;

/**
 * The lease as it lies in the store.
 *
 * @param term number of the term; each coordinator has a greater one
 * @param holder the coordinator
 * @param address where hosts reach it
 * @param validUntilStoreMillis end of the lease on the store's clock
 * @param bestCapacity greatest capacity of a host that the holder knows of
 */
public record LeaseRow(
    long term,
    HostId holder,
    Address address,
    long validUntilStoreMillis,
    HostCapacity bestCapacity) {}
