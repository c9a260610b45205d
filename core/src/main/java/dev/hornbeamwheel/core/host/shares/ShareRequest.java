package dev.hornbeamwheel.core.host.shares;

import java.util.List;

/**
 * Asks the coordinator for leased shares, or for their renewal.
 *
 * @param heldLease number of the slot request whose lease the host holds; zero if none
 * @param fleetSize number of hosts by the last lease; zero if unknown
 * @param demands services that the host's callers use
 */
public record ShareRequest(long heldLease, int fleetSize, List<ServiceDemand> demands) {
  /** Creates a request with a copy of the demands. */
  public ShareRequest {
    demands = List.copyOf(demands);
  }
}
