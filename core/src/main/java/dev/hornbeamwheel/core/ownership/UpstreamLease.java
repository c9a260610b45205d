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
  private final Set<Incarnation> past = new HashSet<>();
  private final Map<Long, Integer> releases = new HashMap<>();
  private Incarnation incarnation;
  private long learnedAtOrder;
  private long reading;
  private long boundReading;
  private long boundAt;
  private long unansweredSince = NONE;
  private long reported;
  private long reportedOrder;
  private long latestExpiry = NONE;
  private long latestReplaceExpiry = NONE;

  UpstreamLease(UpstreamId upstream) {
    this.upstream = upstream;
  }

  UpstreamId upstream() {
    return upstream;
  }

  /** Returns whether the upstream has replied to this leader. */
  boolean known() {
    return incarnation != null;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the set version that the upstream reported last. */
  long reported() {
    return reported;
  }

  /**
   * Takes in a reply.
   *
   * @param nextOrder number that the next order will have at least
   * @return whether the upstream turned out to have restarted
   */
  boolean replied(UpstreamReply reply, long now, long nextOrder) {
    if (past.contains(reply.incarnation())) {
      return false;
    }
    boolean changed = known() && !reply.incarnation().equals(incarnation);
    if (changed && reply.orderId() < learnedAtOrder) {
      return false;
    }
    if (!known() || changed) {
      begin(reply.incarnation(), nextOrder);
    }
    unansweredSince = NONE;
    noteClock(reply.clockMillis(), now);
    if (reply.orderId() > reportedOrder) {
      reportedOrder = reply.orderId();
      reported = reply.setVersion();
    }
    return changed;
  }

  private void begin(Incarnation next, long nextOrder) {
    if (known()) {
      past.add(incarnation);
    }
    incarnation = next;
    learnedAtOrder = nextOrder;
    reading = NONE;
    reported = 0;
    latestExpiry = NONE;
    latestReplaceExpiry = NONE;
    releases.clear();
  }

  private void noteClock(long clock, long now) {
    if (reading == NONE || clock > lowerBound(now)) {
      boundReading = clock;
      boundAt = now;
    }
    reading = Math.max(reading, clock);
  }

  /** Returns a reading that the upstream's clock has surely reached. */
  long lowerBound(long now) {
    return boundReading + Drift.shrink(now - boundAt);
  }

  /** Returns the expiry of an order that is sent now; it does not grow while no reply comes. */
  long expiry(OwnershipOptions options) {
    return reading + options.upstreamLeaseMillis();
  }

  /** Notes that an order was sent. */
  void sent(long now) {
    if (unansweredSince == NONE) {
      unansweredSince = now;
    }
  }

  /** Notes the expiry of an order that was sent. */
  void leased(long expiry, boolean replace) {
    latestExpiry = Math.max(latestExpiry, expiry);
    if (replace) {
      latestReplaceExpiry = Math.max(latestReplaceExpiry, expiry);
    }
  }

  /** Counts silence anew, because this controller itself did not run. */
  void restartSilence(long now) {
    if (unansweredSince != NONE) {
      unansweredSince = now;
    }
  }

  boolean silent(long now, OwnershipOptions options) {
    return unansweredSince != NONE && now - unansweredSince >= options.upstreamFailedMillis();
  }

  /** Returns whether all orders of this leader have surely expired. */
  boolean lapsed(long now) {
    return latestExpiry == NONE || lowerBound(now) > latestExpiry;
  }

  long latestReplaceExpiry() {
    return latestReplaceExpiry;
  }

  /** Notes that a release was sent; the generation names the slices. */
  void releaseSent(long orderId, int generation) {
    releases.put(orderId, generation);
  }

  /** Returns the generation of slices that an order released; -1 if it was no release. */
  int releaseOf(long orderId) {
    return releases.getOrDefault(orderId, -1);
  }
}
