package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.model.HostId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** The leased parts of the quota of one organisation, by the host that holds them. */
final class QuotaLeases {
  /**
   * Time by which the coordinator counts a lease longer than its holder, in milliseconds; allows
   * for clocks of different speed.
   */
  private static final long EXPIRY_MARGIN_MILLIS = 500;

  /** Time for which the coordinator counts a lease, in milliseconds. */
  static final long EXPIRY_MILLIS = QuotaLease.DURATION_MILLIS + EXPIRY_MARGIN_MILLIS;

  private record Lease(double part, long expiryMillis) {}

  /** Leases by host, in the order of their expiry: all last equally long. */
  private final Map<HostId, Lease> leases = new LinkedHashMap<>();

  private final Map<HostId, Double> demands = new HashMap<>();
  private double totalDemand;
  private double leasedSum;
  private long examined;

  /**
   * Renews the lease of a host; returns its new part.
   *
   * @param held part that the host holds now
   * @param mayGrow whether the host may get more than it holds
   */
  double renew(long nowMillis, HostId host, double demand, double held, boolean mayGrow) {
    Double earlier = demand > 0 ? demands.put(host, demand) : demands.remove(host);
    totalDemand = Math.max(0, totalDemand + demand - (earlier == null ? 0 : earlier));
    removeExpired(nowMillis);
    subtract(leases.remove(host));
    double free = Math.max(0, QuotaParts.LEASED_PART - leasedSum);
    double wanted = demand > 0 ? QuotaParts.LEASED_PART * demand / totalDemand : 0;
    double part = Math.min(free, mayGrow ? wanted : Math.min(held, wanted));
    // The host may not get the answer, and then keeps what it holds.
    double counted = Math.max(part, held);
    if (counted > 0) {
      leases.put(host, new Lease(counted, nowMillis + EXPIRY_MILLIS));
      leasedSum += counted;
    }
    return part;
  }

  /** Forgets the demand of a host that no longer uses the coordinator. */
  void removeDemand(HostId host) {
    Double earlier = demands.remove(host);
    totalDemand = Math.max(0, totalDemand - (earlier == null ? 0 : earlier));
  }

  /** Returns the part that a host may hold. */
  double part(long nowMillis, HostId host) {
    Lease lease = leases.get(host);
    return lease == null || nowMillis >= lease.expiryMillis() ? 0 : lease.part();
  }

  /** Returns the sum of the parts of some hosts. */
  double sum(long nowMillis, Predicate<HostId> hosts) {
    return leases.entrySet().stream()
        .filter(entry -> nowMillis < entry.getValue().expiryMillis() && hosts.test(entry.getKey()))
        .mapToDouble(entry -> entry.getValue().part())
        .sum();
  }

  /** Returns the number of leases that renewals have looked at; the cost of a term. */
  long examined() {
    return examined;
  }

  private void removeExpired(long nowMillis) {
    Iterator<Lease> oldest = leases.values().iterator();
    while (oldest.hasNext()) {
      examined++;
      Lease lease = oldest.next();
      if (nowMillis < lease.expiryMillis()) {
        return;
      }
      oldest.remove();
      subtract(lease);
    }
  }

  private void subtract(Lease lease) {
    if (lease != null) {
      // Without leases the sum is exact again, whatever rounding has left.
      leasedSum = leases.isEmpty() ? 0 : Math.max(0, leasedSum - lease.part());
    }
  }
}
