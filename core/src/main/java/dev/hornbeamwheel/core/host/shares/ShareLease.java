package dev.hornbeamwheel.core.host.shares;

import java.util.List;

/**
 * A host's leased shares; they replace the earlier ones. A lease lasts from the time at which the
 * host has requested it, which is never later than the grant.
 *
 * @param slotRequestNumber number of the slot request that carried the request for the lease
 * @param fleetSize number of hosts that may send without the coordinator; zero if unknown
 * @param shares share of each service that the host asked for
 */
public record ShareLease(long slotRequestNumber, int fleetSize, List<ServiceShare> shares) {
  /**
   * Time for which a lease lasts, in milliseconds. A new coordinator cannot change shares before
   * the leases of the former term have ended, so that it is not much longer than an outage.
   */
  public static final long DURATION_MILLIS = 10_000;

  /** Fleet size of a lease from a coordinator that does not know it yet. */
  public static final int UNKNOWN_FLEET_SIZE = 0;

  /** Creates a lease with a copy of the shares. */
  public ShareLease {
    shares = List.copyOf(shares);
  }
}
