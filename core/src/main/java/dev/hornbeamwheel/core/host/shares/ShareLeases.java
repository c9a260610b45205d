package dev.hornbeamwheel.core.host.shares;

import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The shares that the coordinator leases to hosts, so that all of them together stay below the
 * throughput of each service while they are without it.
 *
 * <p>Only the holder of the coordinator's lease may call {@link #renew}. Hosts that have not asked
 * are counted with the minimum share. A new coordinator renews the shares that hosts report, and
 * changes them only when all that it has not been told of have ended: until then it cannot know
 * what hosts use that do not reach it, and has not measured the throughput. A host is known by its
 * name: it has one process at a time.
 */
public final class ShareLeases {
  /**
   * Time by which the coordinator counts a lease longer than its holder, in milliseconds; allows
   * for clocks of different speed.
   */
  static final long EXPIRY_MARGIN_MILLIS = 500;

  private static final long EXPIRY_MILLIS = ShareLease.DURATION_MILLIS + EXPIRY_MARGIN_MILLIS;

  /**
   * Demand beyond the minimum share that each host is assumed to have at least, as a fraction of
   * the minimum share; divides the throughput while no host needs more.
   */
  private static final double IDLE_EXCESS = 0.05;

  /**
   * Interval at which the sums over all hosts are calculated anew, in milliseconds. Renewals in
   * between only change the part of their host, so that their cost does not grow with the fleet.
   */
  static final long SUM_INTERVAL_MILLIS = 200;

  /** Sums over all hosts for one service. */
  private static final class Sums {
    private final double throughput;
    private final double minimum;
    private double excess;
    private double perSecond;

    private Sums(double throughput, int size) {
      this.throughput = throughput;
      this.minimum = ShareRates.minimum(throughput, size);
    }

    private void add(IssuedShares host, ServiceId service, int sign) {
      excess += sign * excessOf(host, service);
      perSecond += sign * host.perSecond(service, minimum);
    }

    /** Returns the demand of a host beyond the minimum share, in requests per second. */
    private double excessOf(IssuedShares host, ServiceId service) {
      return Math.max(IDLE_EXCESS * minimum, host.demandPerSecond(service) - minimum);
    }
  }

  private final Map<HostId, IssuedShares> hosts = new HashMap<>();
  private final FleetSize fleetSize = new FleetSize();
  private final Map<ServiceId, Sums> sums = new HashMap<>();
  private final long settledMillis;
  private long sumsDueMillis = Long.MIN_VALUE;
  private int sumsSize;
  private long examined;

  private ShareLeases(long settledMillis) {
    this.settledMillis = settledMillis;
  }

  /** Returns the leases of a term of the coordinator that starts now. */
  public static ShareLeases startTerm(long nowMillis) {
    return new ShareLeases(nowMillis + EXPIRY_MILLIS);
  }

  /** Takes over the number of hosts that an earlier coordinator knew; zero if it is unknown. */
  public void fleetSizeRead(long nowMillis, int reportedSize) {
    fleetSize.report(nowMillis, reportedSize);
  }

  /** Returns the number of hosts that may send without the coordinator; zero if unknown. */
  public int fleetSize(long nowMillis, int connectedHosts) {
    int size = fleetSize.update(nowMillis, Math.max(connectedHosts, hosts.size()));
    return nowMillis >= settledMillis || fleetSize.reported()
        ? size
        : ShareLease.UNKNOWN_FLEET_SIZE;
  }

  /**
   * Renews the shares of a host.
   *
   * @param slotRequestNumber number of the slot request that carried the request
   * @param connectedHosts number of connected hosts
   * @param throughputs throughput of a service, in requests per second
   */
  public ShareLease renew(
      long nowMillis,
      HostId host,
      long slotRequestNumber,
      ShareRequest request,
      int connectedHosts,
      ToDoubleFunction<ServiceId> throughputs) {
    removeExpired(nowMillis);
    boolean settled = nowMillis >= settledMillis;
    if (!settled) {
      fleetSize.report(nowMillis, request.fleetSize());
    }
    boolean counted = hosts.containsKey(host);
    IssuedShares issued = hosts.computeIfAbsent(host, id -> new IssuedShares());
    int size = fleetSize.update(nowMillis, Math.max(connectedHosts, hosts.size()));
    if (size != sumsSize) {
      sums.clear();
      sumsSize = size;
    }
    if (counted) {
      sums.forEach((service, sum) -> sum.add(issued, service, -1));
    }
    issued.update(nowMillis, request);
    sums.forEach((service, sum) -> sum.add(issued, service, 1));
    ShareLease lease =
        new ShareLease(
            slotRequestNumber,
            settled || fleetSize.reported() ? size : ShareLease.UNKNOWN_FLEET_SIZE,
            request.demands().stream()
                .map(
                    demand ->
                        settled
                            ? share(issued, demand, size, throughputs)
                            : new ServiceShare(
                                demand.service(),
                                demand.heldPerSecond(),
                                demand.minimumPerSecond()))
                .toList());
    sums.forEach((service, sum) -> sum.add(issued, service, -1));
    issued.add(nowMillis + EXPIRY_MILLIS, lease);
    sums.forEach((service, sum) -> sum.add(issued, service, 1));
    return lease;
  }

  /** Returns the number of hosts that renewals have looked at; the cost of a term. */
  long examined() {
    return examined;
  }

  private void removeExpired(long nowMillis) {
    if (nowMillis >= sumsDueMillis) {
      sumsDueMillis = nowMillis + SUM_INTERVAL_MILLIS;
      examined += hosts.size();
      hosts.values().removeIf(issued -> issued.removeExpired(nowMillis));
      sums.clear();
    }
  }

  private Sums sums(ServiceId service, int size, ToDoubleFunction<ServiceId> throughputs) {
    return sums.computeIfAbsent(
        service,
        id -> {
          Sums sum = new Sums(throughputs.applyAsDouble(service), size);
          examined += hosts.size();
          hosts.values().forEach(host -> sum.add(host, service, 1));
          return sum;
        });
  }

  private ServiceShare share(
      IssuedShares host, ServiceDemand demand, int size, ToDoubleFunction<ServiceId> throughputs) {
    ServiceId service = demand.service();
    Sums sum = sums(service, size, throughputs);
    double minimum = sum.minimum;
    double total = ShareRates.total(sum.throughput);
    double others = sum.perSecond - host.perSecond(service, minimum);
    double reserved = Math.max(0, size - hosts.size()) * minimum;
    double excess = sum.excessOf(host, service);
    double wanted = sum.excess > 0 ? minimum + (total - size * minimum) * excess / sum.excess : 0;
    double free = total - others - reserved;
    return new ServiceShare(service, Math.max(minimum, Math.min(wanted, free)), minimum);
  }
}
