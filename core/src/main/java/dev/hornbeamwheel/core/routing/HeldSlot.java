package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.UpstreamId;

/** An upstream slot that this router may use, with or without a lease from the dispatcher. */
final class HeldSlot {
  /** Lease id of a slot that is used without a lease, while no dispatcher is available. */
  static final long NO_LEASE = 0;

  final SlotPool pool;
  final long leaseId;
  final UpstreamId upstream;
  final long usableUntilMillis;
  boolean reusable;
  boolean busy;
  long busySinceMillis;
  long idleSinceMillis;

  HeldSlot(
      SlotPool pool, long leaseId, UpstreamId upstream, long usableUntilMillis, boolean reusable) {
    this.pool = pool;
    this.leaseId = leaseId;
    this.upstream = upstream;
    this.usableUntilMillis = usableUntilMillis;
    this.reusable = reusable;
  }

  boolean leased() {
    return leaseId != NO_LEASE;
  }
}
