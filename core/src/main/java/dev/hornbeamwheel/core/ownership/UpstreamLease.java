package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What the leader of a cell knows of one upstream: incarnation, clock bounds, lease and set. */
final class UpstreamLease {
  private static final long NONE = Long.MIN_VALUE;

  private final UpstreamId upstream;
  private final Set<Incarnation> pastIncarnations = new HashSet<>();
  private final Map<Long, Integer> releaseGenerations = new HashMap<>();
  private Incarnation incarnation;
  private long firstOrderOfIncarnation;
  private long latestReading;
  private long boundReading;
  private long boundAt;
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

  /** Returns the set version that the upstream reported last. */
  long reportedVersion() {
    return reportedVersion;
  }

  /**
   * Takes in a reply.
   *
   * @param nextOrder number that the next order will have at least
   * @return whether the upstream turned out to have restarted
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
      boundReading = clock;
      boundAt = now;
    }
    latestReading = Math.max(latestReading, clock);
  }

  /** Returns a reading that the upstream's clock has surely reached. */
  long clockLowerBound(long now) {
    return boundReading + ClockDrift.minElapsed(now - boundAt);
  }

  /** Returns the expiry of an order that is sent now; it does not grow while no reply comes. */
  long nextExpiry(OwnershipOptions options) {
    return latestReading + options.upstreamLeaseMillis();
  }

  /** Notes that an order was sent. */
  void recordSent(long now) {
    if (unansweredSince == NONE) {
      unansweredSince = now;
    }
  }

  /** Notes the expiry of an order that was sent. */
  void recordExpiry(long expiry, boolean replace) {
    latestExpiry = Math.max(latestExpiry, expiry);
    if (replace) {
      latestReplaceExpiry = Math.max(latestReplaceExpiry, expiry);
    }
  }

  /** Counts silence anew, because this controller itself did not run. */
  void resetSilence(long now) {
    if (unansweredSince != NONE) {
      unansweredSince = now;
    }
  }

  boolean silent(long now, OwnershipOptions options) {
    return unansweredSince != NONE && now - unansweredSince >= options.upstreamFailedMillis();
  }

  /** Returns whether all orders of this leader have surely expired. */
  boolean expired(long now) {
    return latestExpiry == NONE || clockLowerBound(now) > latestExpiry;
  }

  long latestReplaceExpiry() {
    return latestReplaceExpiry;
  }

  /** Notes that a release was sent; the generation names the slices. */
  void recordRelease(long orderId, int generation) {
    releaseGenerations.put(orderId, generation);
  }

  /** Returns the generation of slices that an order released; -1 if it was no release. */
  int releaseGeneration(long orderId) {
    return releaseGenerations.getOrDefault(orderId, -1);
  }
}
