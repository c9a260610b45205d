package dev.hornbeamwheel.core.host.cold;

import dev.hornbeamwheel.core.host.allowance.LeaseRenewal;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What this host may send to cold upstreams without a coordinator: it holds a lease on some
 * partitions of its data centre, and paces its requests to each of their upstreams.
 *
 * <p>The holders of a partition never send an upstream more than one request each in any second,
 * nor much more than its rate in sum. The bound holds without communication between hosts, and does
 * not depend on their number. A host without a lease sends nothing.
 */
public final class ColdAllowance {
  /** Interval between requests for the renewal of the lease, in milliseconds. */
  static final long RENEW_INTERVAL_MILLIS = 1_000;

  /** Minimum interval between two requests of this host to a cold upstream, in milliseconds. */
  static final double MIN_INTERVAL_MILLIS = 1_000;

  /**
   * Rate of all holders of a partition, as a factor of the rate of its upstreams; more than one, as
   * a holder often has no request when it may send one.
   */
  private static final double RATE_FACTOR = 1.25;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Number of pacers above which those that delay no request any more are removed. */
  private static final int MAX_PACERS = 256;

  private final DataCentreId dataCentre;

  /** Times since which this host has held the lease on each of its partitions. */
  private final Map<Integer, Long> heldSinceMillis = new HashMap<>();

  private final Map<UpstreamId, Pacer> pacers = new HashMap<>();
  private final LeaseRenewal renewal =
      LeaseRenewal.every(RENEW_INTERVAL_MILLIS, ColdLease.DURATION_MILLIS);

  private ColdAllowance(DataCentreId dataCentre) {
    this.dataCentre = dataCentre;
  }

  /** Returns the allowance of a host that holds no lease yet. */
  public static ColdAllowance create(DataCentreId dataCentre) {
    return new ColdAllowance(dataCentre);
  }

  /**
   * Returns a request for a lease that a slot request is to carry, or empty if none is due.
   *
   * @param slotRequestNumber number of the slot request, by which the response names it
   */
  public Optional<ColdLeaseRequest> requestDue(long nowMillis, long slotRequestNumber) {
    if (!renewal.due(nowMillis)) {
      return Optional.empty();
    }
    renewal.requested(nowMillis, slotRequestNumber);
    dropExpired(nowMillis);
    return Optional.of(new ColdLeaseRequest(heldSinceMillis.keySet()));
  }

  /** Takes over a lease; one that answers an earlier request than the last one is ignored. */
  public void granted(long nowMillis, ColdLease lease) {
    dropExpired(nowMillis);
    if (renewal.answered(lease.slotRequestNumber())) {
      heldSinceMillis.keySet().retainAll(lease.partitions());
      lease.partitions().forEach(held -> heldSinceMillis.putIfAbsent(held, nowMillis));
    }
  }

  private void dropExpired(long nowMillis) {
    if (!renewal.leased(nowMillis)) {
      heldSinceMillis.clear();
    }
  }

  /** Returns the partitions for which this host holds a lease now. */
  public Set<Integer> partitions(long nowMillis) {
    dropExpired(nowMillis);
    return Set.copyOf(heldSinceMillis.keySet());
  }

  /**
   * Returns whether a request may be sent to a cold upstream now.
   *
   * @param coldPerSecond rate that the upstream can serve, in requests per second
   */
  public boolean canSend(long nowMillis, UpstreamRegistration upstream, double coldPerSecond) {
    Long heldSince = heldSinceMillis.get(ColdPartitions.of(upstream.id()));
    return heldSince != null
        && renewal.leased(nowMillis)
        && upstream.dataCentre().equals(dataCentre)
        && nowMillis >= firstSendMillis(heldSince, coldPerSecond)
        && Optional.ofNullable(pacers.get(upstream.id()))
            .filter(pacer -> !pacer.ready(nowMillis))
            .isEmpty();
  }

  /** Records a request that is sent to a cold upstream. */
  public void recordSend(long nowMillis, UpstreamRegistration upstream, double coldPerSecond) {
    pacers.values().removeIf(pacer -> pacers.size() > MAX_PACERS && pacer.ready(nowMillis));
    pacers
        .computeIfAbsent(upstream.id(), id -> Pacer.startingAt((double) nowMillis))
        .record(nowMillis, intervalMillis(coldPerSecond));
  }

  /** The first request waits an interval from the start of the lease, for its earlier holder. */
  private static double firstSendMillis(long heldSince, double coldPerSecond) {
    return heldSince + intervalMillis(coldPerSecond);
  }

  private static double intervalMillis(double coldPerSecond) {
    double holderPerSecond = coldPerSecond * RATE_FACTOR / ColdLeases.MAX_HOLDERS;
    return Math.max(MIN_INTERVAL_MILLIS, MILLIS_PER_SECOND / holderPerSecond);
  }
}
