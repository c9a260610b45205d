package dev.hornbeamwheel.core.host.organisations;

/**
 * The part of a quota that a coordinator may use: what no other host may be using.
 *
 * @param rate part of the rate, from zero to one
 * @param burst part of the burst, from zero to one
 */
record CoordinatorPart(double rate, double burst) {
  /**
   * Returns the part of a coordinator.
   *
   * <p>A coordinator that holds the lease and is used by most hosts has the whole quota, without
   * the parts of the other hosts. One that lost the lease has at most the part of its hosts, as
   * another one may be used by the others. One that is used by few hosts has their parts only,
   * whether it holds the lease or not, as the others may use an earlier one.
   *
   * @param leaseHeld whether this coordinator certainly holds the lease
   * @param leaseRecent whether it held the lease within {@link FleetMembers#MEMORY_MILLIS}
   * @param settled whether all leases of earlier terms have expired
   */
  static CoordinatorPart of(
      long nowMillis,
      FleetMembers members,
      QuotaLeases leases,
      boolean leaseHeld,
      boolean leaseRecent,
      boolean settled) {
    int size = members.reservedSize();
    int live = Math.min(members.liveCount(), size);
    double leasedToLive = leases.sum(nowMillis, members::isLive);
    double leasedToMissing = leases.sum(nowMillis, host -> !members.isLive(host));
    if (leaseHeld && members.hasMajority()) {
      double unknown =
          settled || members.complete()
              ? 0
              : Math.max(0, QuotaParts.LEASED_PART - leasedToLive - leasedToMissing);
      double reserved =
          settled || members.sizeKnown(nowMillis)
              ? (size - live) * QuotaParts.reservedPart(size)
              : QuotaParts.RESERVED_PART;
      double withheld = leasedToMissing + unknown + reserved;
      return new CoordinatorPart(
          Math.max(0, Math.min(1, 1 + QuotaParts.RATE_TOLERANCE - withheld)), 1);
    }
    double livePart = live / (double) size;
    if (members.sizeKnown(nowMillis) && (live == size || (leaseRecent && members.hasMajority()))) {
      return new CoordinatorPart(Math.max(0, livePart - leasedToMissing), livePart);
    }
    return new CoordinatorPart(
        Math.min(1, leasedToLive + live * QuotaParts.reservedPart(size)), livePart);
  }
}
