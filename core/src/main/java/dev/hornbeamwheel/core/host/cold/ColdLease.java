package dev.hornbeamwheel.core.host.cold;

import java.util.Set;

/**
 * A host's lease on partitions of cold upstreams; it replaces the earlier one. It lasts from the
 * time at which the host has requested it, which is never later than the grant.
 *
 * @param slotRequestNumber number of the slot request that carried the request for the lease
 * @param partitions partitions of the host's data centre
 */
public record ColdLease(long slotRequestNumber, Set<Integer> partitions) {
  /** Time for which a lease lasts, in milliseconds; outlasts the election of a coordinator. */
  public static final long DURATION_MILLIS = 6_000;

  /** Creates a lease with a copy of the partitions. */
  public ColdLease {
    partitions = Set.copyOf(partitions);
  }
}
