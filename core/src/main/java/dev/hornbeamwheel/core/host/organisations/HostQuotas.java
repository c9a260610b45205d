package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.host.allowance.LeaseRenewal;
import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Supplier;

/**
 * What this host knows of quotas: the demand that it reports to the coordinator, the lease that it
 * got, and the parts that it uses while it decides without a coordinator.
 */
public final class HostQuotas {
  /** Interval between requests for the renewal of the lease, in milliseconds. */
  static final long RENEW_INTERVAL_MILLIS = 1_000;

  /** Part of the demand that is kept after each second. */
  private static final double DEMAND_RETAINED = 0.7;

  private static final long DEMAND_INTERVAL_MILLIS = 1_000;

  private static final double MIN_DEMAND = 0.05;

  /** Minimum delay that is given to a refused caller, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  private final Supplier<Organisations> organisations;
  private final Random random;
  private final Map<OrganisationId, Double> demand = new HashMap<>();
  private final Map<OrganisationId, PacedPart> pacedParts = new HashMap<>();
  private Map<OrganisationId, Double> leasedParts = Map.of();
  private int fleetSize;
  private long number;
  private long demandMillis;
  private final LeaseRenewal renewal =
      LeaseRenewal.every(RENEW_INTERVAL_MILLIS, QuotaLease.DURATION_MILLIS);

  private HostQuotas(Supplier<Organisations> organisations, Random random) {
    this.organisations = organisations;
    this.random = random;
  }

  /**
   * Returns the quotas of a host without a lease.
   *
   * @param organisations returns the organisations of the current configuration
   */
  public static HostQuotas create(Supplier<Organisations> organisations, Random random) {
    return new HostQuotas(organisations, random);
  }

  /** Counts a request in the demand of its organisation. */
  public void requestArrived(long nowMillis, OrganisationId organisation) {
    if (quota(organisation).limited()) {
      decayDemand(nowMillis);
      demand.merge(organisation, 1.0, Double::sum);
    }
  }

  /** Returns a request for a lease if one is due and any organisation has a quota. */
  public Optional<QuotaLeaseRequest> leaseRequestDue(long nowMillis) {
    if (!renewal.due(nowMillis) || organisations.get().limited().isEmpty()) {
      return Optional.empty();
    }
    number++;
    renewal.requested(nowMillis, number);
    decayDemand(nowMillis);
    return Optional.of(
        new QuotaLeaseRequest(
            number, fleetSize, demand, renewal.leased(nowMillis) ? leasedParts : Map.of()));
  }

  /**
   * Lets the demand decay, whether or not a coordinator asks for it, and drops what has no quota.
   */
  private void decayDemand(long nowMillis) {
    long intervals = (nowMillis - demandMillis) / DEMAND_INTERVAL_MILLIS;
    if (intervals > 0) {
      demandMillis += intervals * DEMAND_INTERVAL_MILLIS;
      double retained = Math.pow(DEMAND_RETAINED, (double) intervals);
      demand.replaceAll((id, count) -> count * retained);
      demand.values().removeIf(count -> count < MIN_DEMAND);
      demand.keySet().retainAll(organisations.get().limited());
      pacedParts.keySet().retainAll(organisations.get().limited());
    }
  }

  /** Makes a request for a lease due, as a new coordinator does not know this host. */
  public void coordinatorConnected() {
    renewal.makeDue();
  }

  /** Takes over a lease; one that answers an earlier request than the last one is ignored. */
  public void granted(QuotaLease lease) {
    if (renewal.answered(lease.number())) {
      leasedParts = lease.parts();
      fleetSize = lease.fleetSize();
    }
  }

  /** Ends the use of the parts, as the coordinator decides again. */
  public void coordinatorUsed() {
    if (!pacedParts.isEmpty()) {
      pacedParts.clear();
    }
  }

  /**
   * Returns how long the caller of a request should wait, in milliseconds, if this host must not
   * send the request without the coordinator; empty if it may.
   */
  public OptionalLong refusal(long nowMillis, OrganisationId organisation) {
    Quota quota = quota(organisation);
    if (!quota.limited()) {
      return OptionalLong.empty();
    }
    double perSecond = quota.ratePerSecond() * part(nowMillis, organisation);
    PacedPart part =
        pacedParts.computeIfAbsent(
            organisation, id -> new PacedPart(nowMillis, random.nextDouble()));
    if (part.ready(nowMillis, perSecond)) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(
        Math.max(MIN_RETRY_AFTER_MILLIS, part.retryAfterMillis(nowMillis, perSecond)));
  }

  /** Records a request that this host sends without the coordinator. */
  public void sent(OrganisationId organisation) {
    PacedPart part = pacedParts.get(organisation);
    if (part != null) {
      part.take();
    }
  }

  /** Returns the part of a quota that this host may use without a coordinator. */
  private double part(long nowMillis, OrganisationId organisation) {
    double leased = renewal.leased(nowMillis) ? leasedParts.getOrDefault(organisation, 0.0) : 0;
    boolean reserved = nowMillis - renewal.leaseStartMillis() < QuotaParts.RESERVED_MILLIS;
    return leased
        + (reserved ? QuotaParts.reservedPart(fleetSize) : QuotaParts.lastingPart(fleetSize));
  }

  private Quota quota(OrganisationId organisation) {
    return organisations.get().quota(organisation);
  }
}
