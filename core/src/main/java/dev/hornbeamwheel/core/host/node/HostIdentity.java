package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;

/**
 * The identity and the fixed settings of one process of an entry host.
 *
 * @param host name of the host
 * @param dataCentre data centre that the host is in
 * @param address address on which other hosts connect to it
 * @param capacity capacity for the work of a coordinator
 * @param holdMaxMillis longest time for which upstreams let a grant hold keys, in milliseconds
 * @param seed seed of all random choices of this process
 * @param plannedHosts maximum number of hosts of the deployment, of which a newly started host
 *     takes a minimum share; zero if hosts without a coordinator are not limited
 * @param minLearnedSlots least number of slots of an upstream whose concurrency limit is learned;
 *     zero if none is
 */
public record HostIdentity(
    HostId host,
    DataCentreId dataCentre,
    Address address,
    HostCapacity capacity,
    long holdMaxMillis,
    long seed,
    int plannedHosts,
    int minLearnedSlots) {
  /** Creates the identity of a host that is not limited without a coordinator. */
  public HostIdentity(
      HostId host,
      DataCentreId dataCentre,
      Address address,
      HostCapacity capacity,
      long holdMaxMillis,
      long seed) {
    this(host, dataCentre, address, capacity, holdMaxMillis, seed, 0, 0);
  }
}
