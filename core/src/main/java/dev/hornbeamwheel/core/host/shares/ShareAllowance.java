package dev.hornbeamwheel.core.host.shares;

import dev.hornbeamwheel.core.host.allowance.LeaseRenewal;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this host may send to services without a coordinator: its leased shares, or the minimum
 * shares once the lease has ended.
 *
 * <p>A host that has just started, and has no share from any coordinator, uses the minimum share of
 * a fleet of the size that the lease row names, or of the planned size before it was read.
 */
public final class ShareAllowance {
  /** Interval between requests for the renewal of the lease, in milliseconds. */
  static final long RENEW_INTERVAL_MILLIS = 1_000;

  /**
   * Depth of the buckets of all hosts together, in slots of the service: requests that may be sent
   * at once, beyond the rate. Upstreams are assumed to queue as many for each slot.
   */
  private static final double BURST_PER_SLOT = 4;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** State of one service. */
  private static final class ServiceState {
    private final DemandRate demand;
    private final RunTime runTime;
    private int slots;
    private int slotsAtGrant;
    private Optional<ServiceShare> share = Optional.empty();
    private Optional<ShareBucket> bucket = Optional.empty();
    private long refusals;

    private ServiceState(long nowMillis, long targetMillis) {
      this.demand = DemandRate.startingAt(nowMillis);
      this.runTime = RunTime.assumedFrom(targetMillis);
    }

    private void granted(ServiceShare granted) {
      share = Optional.of(granted);
      slotsAtGrant = slots;
    }

    /** Returns the fraction of the throughput at the grant that the service still has. */
    private double remainingFraction() {
      return slots < slotsAtGrant ? slots / (double) slotsAtGrant : 1;
    }

    private double leasedPerSecond() {
      return share.map(ServiceShare::perSecond).orElse(0.0) * remainingFraction();
    }

    /** Returns the throughput of the service by what this host knows, in requests per second. */
    private double throughputPerSecond() {
      return slots * MILLIS_PER_SECOND / runTime.meanMillis();
    }
  }

  private final int plannedHosts;
  private final Map<ServiceId, ServiceState> services = new HashMap<>();
  private final LeaseRenewal renewal =
      LeaseRenewal.every(RENEW_INTERVAL_MILLIS, ShareLease.DURATION_MILLIS);
  private long heldLease;
  private int fleetSize;
  private int fleetSizeByRow;

  private ShareAllowance(int plannedHosts) {
    this.plannedHosts = plannedHosts;
  }

  /**
   * Returns the allowance of a host that holds no lease yet.
   *
   * @param plannedHosts number of hosts that the deployment has at most; zero if hosts without a
   *     coordinator are not limited
   */
  public static ShareAllowance create(int plannedHosts) {
    return new ShareAllowance(plannedHosts);
  }

  /** Records a request of a caller. */
  public void recordArrival(long nowMillis, SharedService capacity) {
    if (limited(capacity)) {
      state(nowMillis, capacity).demand.recordArrival(nowMillis);
    }
  }

  /** Records the run time of a request that was served, in milliseconds. */
  public void recordRun(ServiceId service, long runMillis) {
    Optional.ofNullable(services.get(service)).ifPresent(state -> state.runTime.record(runMillis));
  }

  /**
   * Returns a request for leased shares that a slot request is to carry, or empty if none is due.
   *
   * @param slotRequestNumber number of the slot request, by which the response names it
   */
  public Optional<ShareRequest> requestDue(long nowMillis, long slotRequestNumber) {
    if (services.isEmpty() || !renewal.due(nowMillis)) {
      return Optional.empty();
    }
    renewal.requested(nowMillis, slotRequestNumber);
    List<ServiceDemand> demands =
        services.entrySet().stream()
            .map(entry -> demand(nowMillis, entry.getKey(), entry.getValue()))
            .toList();
    return Optional.of(new ShareRequest(leased(nowMillis) ? heldLease : 0, fleetSize, demands));
  }

  private ServiceDemand demand(long nowMillis, ServiceId service, ServiceState state) {
    double held = leased(nowMillis) ? state.leasedPerSecond() : 0.0;
    return new ServiceDemand(
        service, state.demand.perSecond(nowMillis), held, minimumPerSecond(state));
  }

  /** Takes over a lease; one that answers an earlier request than the last one is ignored. */
  public void granted(ShareLease lease) {
    if (!renewal.answered(lease.slotRequestNumber())) {
      return;
    }
    heldLease = lease.slotRequestNumber();
    fleetSize = lease.fleetSize() > 0 ? lease.fleetSize() : fleetSize;
    lease
        .shares()
        .forEach(
            share ->
                Optional.ofNullable(services.get(share.service()))
                    .ifPresent(state -> state.granted(share)));
  }

  /**
   * Takes over the number of hosts that the lease row names, zero if it is unknown; it is used
   * until a lease names one.
   */
  public void fleetSizeRead(int size) {
    fleetSizeByRow = size > 0 ? size : fleetSizeByRow;
  }

  /**
   * Returns the time after which a request that finds the share used up should be repeated, in
   * milliseconds; zero if it may be sent now.
   */
  public long retryAfterMillis(long nowMillis, SharedService capacity) {
    if (!limited(capacity)) {
      return 0;
    }
    ServiceState state = state(nowMillis, capacity);
    ShareBucket bucket = refilledBucket(nowMillis, state);
    if (bucket.available()) {
      return 0;
    }
    state.refusals++;
    return bucket.retryAfterMillis(nowMillis, perSecond(nowMillis, state));
  }

  /** Records a request that this host sends without the coordinator. */
  public void recordSend(long nowMillis, SharedService capacity) {
    if (limited(capacity)) {
      refilledBucket(nowMillis, state(nowMillis, capacity)).take();
    }
  }

  /** Returns how many requests this host may run at an upstream at a time. */
  public int runningLimit(UpstreamRegistration upstream) {
    return limited(upstream) ? RunningLimit.of(upstream.slots(), fleetSize()) : upstream.slots();
  }

  /** Returns whether the requests of this host to an upstream are limited. */
  public boolean limited(UpstreamRegistration upstream) {
    return plannedHosts > 0 && SharedService.limited(upstream);
  }

  private boolean limited(SharedService capacity) {
    return plannedHosts > 0 && capacity.limited();
  }

  /** Returns the use of the shares, by service. */
  public List<ShareStatistics> statistics(long nowMillis) {
    return services.entrySet().stream()
        .map(
            entry ->
                new ShareStatistics(
                    entry.getKey(),
                    perSecond(nowMillis, entry.getValue()),
                    leased(nowMillis),
                    entry.getValue().refusals))
        .toList();
  }

  private ServiceState state(long nowMillis, SharedService capacity) {
    ServiceState state =
        services.computeIfAbsent(
            capacity.service(), id -> new ServiceState(nowMillis, capacity.targetMillis()));
    state.slots = capacity.slots();
    return state;
  }

  private ShareBucket refilledBucket(long nowMillis, ServiceState state) {
    double perSecond = perSecond(nowMillis, state);
    double depth = Math.max(1, perSecond * burstSeconds(state));
    if (state.bucket.isEmpty()) {
      double first = Math.max(1, BURST_PER_SLOT * state.slots / fleetSize());
      state.bucket = Optional.of(ShareBucket.full(nowMillis, first));
    }
    ShareBucket bucket = state.bucket.get();
    bucket.refill(nowMillis, perSecond, depth);
    return bucket;
  }

  /** Returns the time in which all hosts together get tokens for the burst, in seconds. */
  private static double burstSeconds(ServiceState state) {
    return BURST_PER_SLOT
        * state.runTime.meanMillis()
        / (ShareRates.TOTAL_FRACTION * MILLIS_PER_SECOND);
  }

  private boolean leased(long nowMillis) {
    return renewal.leased(nowMillis);
  }

  private double perSecond(long nowMillis, ServiceState state) {
    double minimum = minimumPerSecond(state);
    return leased(nowMillis) ? Math.max(minimum, state.leasedPerSecond()) : minimum;
  }

  /**
   * Returns the minimum share. It has no end, and the throughput may have fallen since it was
   * granted: it falls with the slots, and is at most an even part of what all hosts together may
   * send at the run times that this host sees. The mean of one host varies too much to lower the
   * share in proportion to it.
   */
  private double minimumPerSecond(ServiceState state) {
    double throughput = state.throughputPerSecond();
    if (state.share.isEmpty()) {
      return ShareRates.minimum(throughput, fleetSize());
    }
    double granted = state.share.get().minimumPerSecond() * state.remainingFraction();
    return state.runTime.measured()
        ? Math.min(granted, ShareRates.total(throughput) / fleetSize())
        : granted;
  }

  private int fleetSize() {
    if (fleetSize > 0) {
      return fleetSize;
    }
    return fleetSizeByRow > 0 ? fleetSizeByRow : Math.max(1, plannedHosts);
  }
}
