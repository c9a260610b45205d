package dev.hornbeamwheel.core.host.organisations;

/** The quota of one organisation at the coordinator: its buckets and the leases on it. */
final class OrganisationQuota {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final QuotaLeases leases = new QuotaLeases();
  private final TokenBucket arrivals;
  private final TokenBucket starts;
  private Quota quota;
  private CoordinatorPart part = new CoordinatorPart(0, 0);
  private long limitedMillis;

  /** Creates the quota as it is at the start of a term. */
  OrganisationQuota(long termStartMillis, Quota quota) {
    this.quota = quota;
    this.arrivals = new TokenBucket(termStartMillis, QuotaParts.termStartTokens(quota));
    this.starts = new TokenBucket(termStartMillis, QuotaParts.termStartTokens(quota));
  }

  QuotaLeases leases() {
    return leases;
  }

  CoordinatorPart part() {
    return part;
  }

  /** Takes over the quota of the current configuration, and the part of the coordinator. */
  void update(long nowMillis, Quota latest, CoordinatorPart latestPart) {
    refill(nowMillis);
    quota = latest;
    part = latestPart;
    limitedMillis = latest.limited() ? nowMillis : limitedMillis;
    refill(nowMillis);
  }

  /**
   * Returns whether all leases under the last limit have expired, so that a later limit starts
   * anew.
   */
  boolean dropped(long nowMillis) {
    return nowMillis - limitedMillis >= QuotaLeases.EXPIRY_MILLIS;
  }

  /** Takes a token for a request that arrives; returns false if there is none. */
  boolean tryArrive(long nowMillis) {
    refill(nowMillis);
    return arrivals.tryTake();
  }

  /** Takes a token for a request that starts; returns false if there is none. */
  boolean tryStart(long nowMillis) {
    refill(nowMillis);
    return starts.tryTake();
  }

  /** Returns the token of a request that arrived and did not run. */
  void returnArrival() {
    arrivals.add(1);
  }

  /** Returns the token of a request that was granted a slot and did not run. */
  void returnStart() {
    starts.add(1);
  }

  /** Removes the tokens that a silent host may have used since its last message. */
  void hostSilenced(long nowMillis, FleetMembers.Silenced silenced, int fleetSize) {
    double hostPart = leases.part(nowMillis, silenced.host()) + QuotaParts.reservedPart(fleetSize);
    double used =
        hostPart * quota.ratePerSecond() * (nowMillis - silenced.sinceMillis()) / MILLIS_PER_SECOND;
    arrivals.add(-used);
    starts.add(-used);
    leases.removeDemand(silenced.host());
  }

  /** Returns the delay after which a refused caller finds a token, in milliseconds. */
  long retryAfterMillis(long nowMillis) {
    return arrivals.retryAfterMillis(nowMillis, perSecond());
  }

  private void refill(long nowMillis) {
    arrivals.refill(nowMillis, perSecond(), capacity(QuotaParts.arrivalCapacity(quota)));
    starts.refill(nowMillis, perSecond(), capacity(QuotaParts.startCapacity(quota)));
  }

  private double perSecond() {
    return quota.ratePerSecond() * part.rate();
  }

  private double capacity(double full) {
    return Math.max(1, full * part.burst());
  }
}
