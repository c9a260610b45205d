package dev.hornbeamwheel.core.host.keys;

import java.util.OptionalLong;

/** Chooses the hold times of grants, and holds back grants that would delay a reassignment. */
final class GrantHoldTimes {
  /** Hold time of a grant that probes an unresponsive upstream, in milliseconds. */
  private static final long PROBE_HOLD_MILLIS = 500;

  /** Shortest hold time that is worth a grant to the previous owner, in milliseconds. */
  private static final long MIN_FENCE_HOLD_MILLIS = 200;

  /**
   * Time after the expiry of grants within which the keys of a lost owner are usually reassigned,
   * in milliseconds.
   */
  private static final long MAX_REASSIGNMENT_MILLIS = 1_000;

  private final UpstreamFailureDetector detector;
  private final UnreachableDataCentres unreachable;
  private final long holdMaxMillis;

  /**
   * Creates a chooser.
   *
   * @param holdMaxMillis longest hold time that upstreams accept, in milliseconds
   */
  GrantHoldTimes(
      UpstreamFailureDetector detector, UnreachableDataCentres unreachable, long holdMaxMillis) {
    this.detector = detector;
    this.unreachable = unreachable;
    this.holdMaxMillis = holdMaxMillis;
  }

  /**
   * Returns the hold time of the next grant of a range; empty if none should be sent now.
   *
   * @param storeMaybeUnavailable whether the store may be down; if so, grants last longest
   */
  OptionalLong holdMillis(long nowMillis, OwnedRange range, boolean storeMaybeUnavailable) {
    KeyOwner owner = range.assignment().owner();
    if (!detector.failedSinceLastAnswer(owner.incarnation()) || unreachable.contains(owner)) {
      return OptionalLong.of(
          storeMaybeUnavailable
              ? holdMaxMillis
              : Math.min(KeyedService.HOLD_MILLIS, holdMaxMillis));
    }
    // A longer hold time would delay the reassignment of keys if the upstream is lost.
    return delaysReassignment(nowMillis, range)
        ? OptionalLong.empty()
        : OptionalLong.of(PROBE_HOLD_MILLIS);
  }

  /**
   * Returns the hold time of a grant to the previous owner of a range, by which it refuses late
   * grants; empty if such a grant would delay the hand-over.
   *
   * <p>While the previous owner does not answer, the grant must not outlast the ones before it.
   */
  OptionalLong fenceHoldMillis(long nowMillis, OwnedRange range) {
    KeyOwner previousOwner = range.assignment().previousOwner().orElseThrow();
    GrantTracker grants = range.previousOwnerGrants();
    if (grants.expired(nowMillis)) {
      return OptionalLong.of(MIN_FENCE_HOLD_MILLIS);
    }
    long usualMillis = Math.min(KeyedService.HOLD_MILLIS, holdMaxMillis);
    if (!detector.failedSinceLastAnswer(previousOwner.incarnation())) {
      return OptionalLong.of(usualMillis);
    }
    long longestMillis = GrantTracker.longestHoldMillis(nowMillis, grants.latestExpiryMillis());
    return longestMillis < MIN_FENCE_HOLD_MILLIS
        ? OptionalLong.empty()
        : OptionalLong.of(Math.min(usualMillis, longestMillis));
  }

  /** Returns whether a probe could delay the reassignment of a range that is about to happen. */
  private boolean delaysReassignment(long nowMillis, OwnedRange range) {
    long expiryMillis = range.ownerGrants().latestExpiryMillis();
    return detector.suspected(nowMillis, range.assignment().owner().incarnation())
        && GrantTracker.latestExpiryOfGrant(nowMillis, PROBE_HOLD_MILLIS) > expiryMillis
        && nowMillis <= expiryMillis + MAX_REASSIGNMENT_MILLIS;
  }
}
