package dev.hornbeamwheel.core.host.shares;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leases of one host that have not ended, as the coordinator counts them. */
final class IssuedShares {
  private record Issued(long number, long expiryMillis, Map<ServiceId, Double> perSecond) {}

  private final List<Issued> leases = new ArrayList<>();
  private final Map<ServiceId, Double> demands = new HashMap<>();

  /** Takes over the demand, and forgets leases that the host has replaced. */
  void update(long nowMillis, ShareRequest request) {
    removeExpired(nowMillis);
    leases.removeIf(issued -> issued.number() < request.heldLease());
    request.demands().forEach(demand -> demands.put(demand.service(), demand.perSecond()));
  }

  void add(long expiryMillis, ShareLease lease) {
    Map<ServiceId, Double> perSecond = new HashMap<>();
    lease.shares().forEach(share -> perSecond.put(share.service(), share.perSecond()));
    leases.add(new Issued(lease.slotRequestNumber(), expiryMillis, perSecond));
  }

  /** Returns whether no lease is left. */
  boolean removeExpired(long nowMillis) {
    leases.removeIf(issued -> nowMillis >= issued.expiryMillis());
    return leases.isEmpty();
  }

  /**
   * Returns the greatest rate that the host may use now: a lease that replaces a greater one may
   * not have arrived.
   */
  double perSecond(ServiceId service, double minimumPerSecond) {
    double greatest = minimumPerSecond;
    for (Issued issued : leases) {
      greatest = Math.max(greatest, issued.perSecond().getOrDefault(service, 0.0));
    }
    return greatest;
  }

  double demandPerSecond(ServiceId service) {
    return demands.getOrDefault(service, 0.0);
  }
}
