package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.lease.HostCapacity;

/** Judges by the capacities of the hosts whether this one should take over the lease. */
final class LeaseCandidacy {
  /** Time for which a clearly weaker host leaves an expired lease to others, in milliseconds. */
  static final long WEAK_HOST_DELAY_MILLIS = 600;

  /** Time after a handover in which no host hands over the lease again, in milliseconds. */
  static final long HANDOVER_COOLDOWN_MILLIS = 60_000;

  private final HostCapacity self;
  private HostCapacity best = HostCapacity.unknown();
  private boolean offered;
  private long handoverAtMillis;

  /**
   * Creates the candidacy of a host that knows no other.
   *
   * @param self capacity of this host
   */
  LeaseCandidacy(HostCapacity self) {
    this.self = self;
  }

  /** Returns the greatest known capacity of the hosts. */
  HostCapacity best() {
    return best;
  }

  void bestCapacityReported(HostCapacity capacity) {
    best = capacity;
  }

  /**
   * Records whether the coordinator offers the lease to the strongest of the other hosts; returns
   * whether it has just begun to.
   */
  boolean offerReported(long nowMillis, boolean offering) {
    boolean begun = offering && !offered;
    offered = offering;
    if (offering && !strong()) {
      handoverAtMillis = nowMillis + HANDOVER_COOLDOWN_MILLIS;
    }
    return begun;
  }

  /** Forgets the offer, as another coordinator is followed. */
  void offerEnded() {
    offered = false;
  }

  /** Returns whether the lease is offered. */
  boolean offered() {
    return offered;
  }

  /** Returns whether the lease is offered, and this host is strong enough to take it at once. */
  boolean mayTakeOffer() {
    return offered && strong();
  }

  /** Returns whether the last handover is long enough ago for another one. */
  boolean handoverAllowed(long nowMillis) {
    return nowMillis >= handoverAtMillis;
  }

  /** Returns the time for which this host leaves an expired lease to others, in milliseconds. */
  long claimDelayMillis() {
    return self.isMuchLowerThan(best) ? WEAK_HOST_DELAY_MILLIS : 0;
  }

  private boolean strong() {
    return self.isUnknown() ? best.isUnknown() : !self.isMuchLowerThan(best);
  }
}
