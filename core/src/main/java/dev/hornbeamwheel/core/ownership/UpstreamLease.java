package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The leader's view of one upstream of its cell: incarnation, clock, lease expiry and reported set.
 */
final class UpstreamLease {
  private static final long NONE = Long.MIN_VALUE;

  private final UpstreamId upstream;
  private final Set<Incarnation> pastIncarnations = new HashSet<>();
  private final Map<Long, Integer> releaseGenerations = new HashMap<>();
  private Incarnation incarnation;
  private long firstOrderOfIncarnation;
  private long latestReading;
  private long lowerBoundReading;
  private long lowerBoundReadAt;
  private long unansweredSince = NONE;
  private long reportedVersion;
  private long reportedByOrder;
  private long latestExpiry = NONE;
  private long latestReplaceExpiry = NONE;

  UpstreamLease(UpstreamId upstream) {
    this.upstream = upstream;
  }

  UpstreamId upstream() {
    return upstream;
  }

  /** Returns whether the upstream has replied to this leader. */
  boolean hasReplied() {
    return incarnation != null;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the version of the slice set in the latest reply. */
  long reportedVersion() {
    return reportedVersion;
  }

  /**
   * Handles a reply.
   *
   * @param nextOrder lower bound of the next order's number
   * @return whether the reply shows that the upstream has restarted
   */
  boolean onReply(UpstreamReply reply, long now, long nextOrder) {
    if (pastIncarnations.contains(reply.incarnation())) {
      return false;
    }
    boolean changed = hasReplied() && !reply.incarnation().equals(incarnation);
    if (changed && reply.orderId() < firstOrderOfIncarnation) {
      return false;
    }
    if (!hasReplied() || changed) {
      startIncarnation(reply.incarnation(), nextOrder);
    }
    unansweredSince = NONE;
    recordClock(reply.clockMillis(), now);
    if (reply.orderId() > reportedByOrder) {
      reportedByOrder = reply.orderId();
      reportedVersion = reply.setVersion();
    }
    return changed;
  }

  private void startIncarnation(Incarnation next, long nextOrder) {
    if (hasReplied()) {
      pastIncarnations.add(incarnation);
    }
    incarnation = next;
    firstOrderOfIncarnation = nextOrder;
    latestReading = NONE;
    reportedVersion = 0;
    latestExpiry = NONE;
    latestReplaceExpiry = NONE;
    releaseGenerations.clear();
  }

  private void recordClock(long clock, long now) {
    if (latestReading == NONE || clock > clockLowerBound(now)) {
      lowerBoundReading = clock;
      lowerBoundReadAt = now;
    }
    latestReading = Math.max(latestReading, clock);
  }

  /** Returns a lower bound of the upstream's clock. */
  long clockLowerBound(long now) {
    return lowerBoundReading + ClockDrift.minElapsed(now - lowerBoundReadAt);
  }

  /** Returns the expiry for an order sent now; it does not advance while no reply arrives. */
  long nextExpiry(OwnershipOptions options) {
    return latestReading + options.upstreamLeaseMillis();
  }

  /** Records that an order was sent. */
  void recordSent(long now) {
    if (unansweredSince == NONE) {
      unansweredSince = now;
    }
  }

  /** Records the expiry of a sent order. */
  void recordExpiry(long expiry, boolean replace) {
    latestExpiry = Math.max(latestExpiry, expiry);
    if (replace) {
      latestReplaceExpiry = Math.max(latestReplaceExpiry, expiry);
    }
  }

  /** Restarts the silence timer, because this controller itself was paused. */
  void resetSilence(long now) {
    if (unansweredSince != NONE) {
      unansweredSince = now;
    }
  }

  boolean silent(long now, OwnershipOptions options) {
    return unansweredSince != NONE && now - unansweredSince >= options.upstreamFailedMillis();
  }

  /** Returns whether all orders of this leader have certainly expired at the upstream. */
  boolean expired(long now) {
    return latestExpiry == NONE || clockLowerBound(now) > latestExpiry;
  }

  long latestReplaceExpiry() {
    return latestReplaceExpiry;
  }

  /** Records that a release was sent; the generation identifies the revoked slices. */
  void recordRelease(long orderId, int generation) {
    releaseGenerations.put(orderId, generation);
  }

  /** Returns the generation of slices that an order revoked, or -1 if it was no release. */
  int releaseGeneration(long orderId) {
    return releaseGenerations.getOrDefault(orderId, -1);
  }
}
