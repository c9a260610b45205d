package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;

/** Estimates when the owner of a range will hold it. */
final class HandOverEstimate {
  /** Usual duration of a hand-over, in milliseconds. */
  static final long TYPICAL_HANDOVER_MILLIS = 150;

  private final Catalog catalog;
  private final UpstreamFailureDetector detector;

  HandOverEstimate(Catalog catalog, UpstreamFailureDetector detector) {
    this.catalog = catalog;
    this.detector = detector;
  }

  /** Returns when a range will probably have a holder; {@code nowMillis} if it has one. */
  long readyMillis(long nowMillis, OwnedRange range) {
    if (range.hasConfirmedOwner(nowMillis)) {
      return nowMillis;
    }
    long earliest = nowMillis + TYPICAL_HANDOVER_MILLIS;
    return switch (range.phase()) {
      case HELD ->
          detector.suspected(nowMillis, range.assignment().owner().incarnation())
              ? Math.max(earliest, range.ownerGrants().latestExpiryMillis())
              : earliest;
      case RELEASING -> Math.max(earliest, releaseEndMillis(nowMillis, range));
      case FREE, GRANTING -> earliest;
    };
  }

  private long releaseEndMillis(long nowMillis, OwnedRange range) {
    KeyOwner previous = range.assignment().previousOwner().orElseThrow();
    GrantTracker grants = range.previousOwnerGrants();
    if (detector.suspected(nowMillis, previous.incarnation())) {
      return grants.latestExpiryMillis();
    }
    if (grants.releaseEndsAllGrants(nowMillis)
        || catalog.superseded(previous.incarnation(), previous.address())) {
      return nowMillis;
    }
    boolean willRefuseLateGrants =
        range.fenceable()
            && !range.released()
            && !detector.failedSinceLastAnswer(previous.incarnation());
    return willRefuseLateGrants ? nowMillis : grants.latestExpiryMillis();
  }
}
