package dev.hornbeamwheel.core.host.cold;

import java.util.Set;

/**
 * Asks the coordinator for a lease on partitions of cold upstreams, or for its renewal.
 *
 * @param heldPartitions partitions of the host's data centre for which it holds a lease now
 */
public record ColdLeaseRequest(Set<Integer> heldPartitions) {
  /** Creates a request with a copy of the partitions. */
  public ColdLeaseRequest {
    heldPartitions = Set.copyOf(heldPartitions);
  }
}
