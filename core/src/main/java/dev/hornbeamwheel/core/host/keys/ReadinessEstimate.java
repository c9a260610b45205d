package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.keys.OwnedRange.Phase;

/** Estimates when the owner of a range will hold it, so that callers are told when to retry. */
final class ReadinessEstimate {
  /** Usual duration of a hand-over, in milliseconds. */
  static final long TYPICAL_HANDOVER_MILLIS = 150;

  private final UpstreamFailureDetector detector;

  ReadinessEstimate(UpstreamFailureDetector detector) {
    this.detector = detector;
  }

  /** Returns the time at which the range will have a holder; {@code nowMillis} if it has one. */
  long readyMillis(long nowMillis, OwnedRange range) {
    if (range.hasConfirmedOwner(nowMillis)) {
      return nowMillis;
    }
    long earliest = nowMillis + TYPICAL_HANDOVER_MILLIS;
    if (range.phase() == Phase.HELD) {
      boolean suspected = detector.suspected(nowMillis, range.assignment().owner().incarnation());
      return suspected ? Math.max(earliest, range.ownerGrants().latestExpiryMillis()) : earliest;
    }
    boolean previousSuspected =
        range.phase() == Phase.RELEASING
            && range
                .assignment()
                .previousOwner()
                .filter(previous -> detector.suspected(nowMillis, previous.incarnation()))
                .isPresent();
    return previousSuspected
        ? Math.max(earliest, range.previousOwnerGrants().latestExpiryMillis())
        : earliest;
  }
}
