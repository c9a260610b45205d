package dev.hornbeamwheel.core.host.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the grants of a range to one upstream and bounds the time for which it may hold the range.
 *
 * <p>The hold time starts when a grant arrives. An answered grant therefore expires at most one
 * hold time after its answer. An unanswered grant may be processed late, but its hold time also
 * starts when it arrives, which is before its call is reset. A busy process may reset a call later
 * than planned, so the expiry of a grant is not certain while the grant is in flight.
 *
 * <p>A release ends the grants that were carried out before it. Others may be carried out after it:
 * those that were not certainly answered, and those of an earlier coordinator, which may have been
 * killed while a partition held them up. An upstream refuses them once it has carried out a grant
 * with a greater fencing token.
 */
final class GrantTracker {
  /** Time after which a call without an answer is reset, in milliseconds. */
  static final long CALL_TIMEOUT_MILLIS = 700;

  /**
   * Longest time that an order may still be in transit after its call is reset, in milliseconds.
   */
  private static final long MAX_TRANSIT_MILLIS = 100;

  /** Allowance for calls that a busy process resets late, in milliseconds. */
  private static final long RESET_MARGIN_MILLIS = 200;

  /** The clocks of upstreams may be slower than the local clock by one part in this many. */
  private static final long CLOCK_DRIFT_DIVISOR = 50;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** All expiries of grants are later; {@link #NEVER} is earlier, even if it is postponed. */
  private static final long EARLIEST_EXPIRY_MILLIS = NEVER / 2;

  /**
   * A grant that has not been answered yet.
   *
   * @param fencingToken its fencing token
   * @param sentMillis time at which it was sent
   * @param holdMillis hold time, in milliseconds
   * @param latestExpiryMillis latest expiry if it stays unanswered and is reset on time
   */
  private record InFlightGrant(
      long fencingToken, long sentMillis, long holdMillis, long latestExpiryMillis) {
    private InFlightGrant postponed(long millis) {
      return new InFlightGrant(fencingToken, sentMillis, holdMillis, latestExpiryMillis + millis);
    }
  }

  private final Map<Long, InFlightGrant> inFlight = new HashMap<>();

  /** Latest expiry of answered grants and of grants of earlier coordinators. */
  private long answeredExpiryMillis = NEVER;

  /** Latest expiry of grants whose calls were reset without an answer. */
  private long unansweredExpiryMillis = NEVER;

  /** Time until which an answered grant certainly lasts. */
  private long confirmedUntilMillis = NEVER;

  /** Latest time at which a grant of an earlier coordinator may arrive, if it is reset on time. */
  private long inheritedArrivalMillis = NEVER;

  /** Greatest fencing token that a grant of an earlier coordinator may have; zero without any. */
  private long inheritedToken;

  /** Latest expiry of grants that may be carried out after they seemed to have ended. */
  private long lateExpiryMillis = NEVER;

  /** Greatest fencing token of these grants. */
  private long lateToken;

  /** Greatest fencing token of a grant that was certainly carried out; lower ones are refused. */
  private long carriedOutToken;

  private GrantTracker() {}

  /** Returns a tracker without grants. */
  static GrantTracker neverGranted() {
    return new GrantTracker();
  }

  /**
   * Returns a tracker of grants that earlier coordinators may have sent.
   *
   * @param expiryMillis latest time at which these grants expire
   * @param arrivalMillis latest time at which these grants arrive, if they are reset on time
   */
  static GrantTracker grantedUntil(long expiryMillis, long arrivalMillis) {
    GrantTracker tracker = new GrantTracker();
    tracker.answeredExpiryMillis = expiryMillis;
    tracker.inheritedArrivalMillis = arrivalMillis;
    tracker.inheritedToken = Long.MAX_VALUE;
    return tracker;
  }

  /** Returns a copy for grants of earlier coordinators with fencing tokens up to this one. */
  GrantTracker withTokensUpTo(long fencingToken) {
    GrantTracker copy = copy();
    copy.inheritedToken = fencingToken;
    return copy;
  }

  /** Returns the latest time at which a grant sent by now can arrive, if it is reset on time. */
  static long latestArrivalMillis(long nowMillis) {
    return nowMillis + CALL_TIMEOUT_MILLIS + MAX_TRANSIT_MILLIS;
  }

  /**
   * Postpones all expiries, because the local clock has advanced by a time that the clocks of
   * upstreams may not show.
   *
   * <p>How long an answered grant certainly lasts is not extended.
   */
  void postpone(long millis) {
    inFlight.replaceAll((orderId, grant) -> grant.postponed(millis));
    answeredExpiryMillis += millis;
    unansweredExpiryMillis += millis;
    inheritedArrivalMillis += millis;
    lateExpiryMillis += millis;
  }

  GrantTracker copy() {
    GrantTracker copy = new GrantTracker();
    copy.inFlight.putAll(inFlight);
    copy.answeredExpiryMillis = answeredExpiryMillis;
    copy.unansweredExpiryMillis = unansweredExpiryMillis;
    copy.confirmedUntilMillis = confirmedUntilMillis;
    copy.inheritedArrivalMillis = inheritedArrivalMillis;
    copy.inheritedToken = inheritedToken;
    copy.lateExpiryMillis = lateExpiryMillis;
    copy.lateToken = lateToken;
    copy.carriedOutToken = carriedOutToken;
    return copy;
  }

  /** Returns the tracker of a range whose parts have these trackers. */
  static GrantTracker merge(List<GrantTracker> parts) {
    GrantTracker merged = new GrantTracker();
    merged.confirmedUntilMillis =
        parts.stream().mapToLong(part -> part.confirmedUntilMillis).min().orElse(NEVER);
    merged.carriedOutToken = parts.stream().mapToLong(part -> part.carriedOutToken).min().orElse(0);
    parts.forEach(
        part -> {
          merged.inFlight.putAll(part.inFlight);
          merged.answeredExpiryMillis =
              Math.max(merged.answeredExpiryMillis, part.answeredExpiryMillis);
          merged.unansweredExpiryMillis =
              Math.max(merged.unansweredExpiryMillis, part.unansweredExpiryMillis);
          merged.inheritedArrivalMillis =
              Math.max(merged.inheritedArrivalMillis, part.inheritedArrivalMillis);
          merged.inheritedToken = Math.max(merged.inheritedToken, part.inheritedToken);
          merged.lateExpiryMillis = Math.max(merged.lateExpiryMillis, part.lateExpiryMillis);
          merged.lateToken = Math.max(merged.lateToken, part.lateToken);
        });
    return merged;
  }

  /** Returns whether the upstream certainly no longer holds the range. */
  boolean expired(long nowMillis) {
    return !mayBeInFlight(nowMillis) && nowMillis > latestExpiryMillis();
  }

  /** Returns the latest expiry of a grant, if its call is answered or reset on time. */
  static long latestExpiryOfGrant(long sentMillis, long holdMillis) {
    return latestArrivalMillis(sentMillis) + withClockDrift(holdMillis);
  }

  /**
   * Returns the longest hold time of a grant sent now that expires by a time, even if its call is
   * reset somewhat late; zero or less if there is none.
   */
  static long longestHoldMillis(long nowMillis, long expiryMillis) {
    long withDrift = expiryMillis - latestArrivalMillis(nowMillis) - RESET_MARGIN_MILLIS;
    return withDrift - withDrift / CLOCK_DRIFT_DIVISOR;
  }

  /** Records that a grant was sent. */
  void sent(long nowMillis, long orderId, long fencingToken, long holdMillis) {
    inFlight.put(
        orderId,
        new InFlightGrant(
            fencingToken, nowMillis, holdMillis, latestExpiryOfGrant(nowMillis, holdMillis)));
  }

  /**
   * Records that the upstream has carried out a grant; its hold time has started.
   *
   * @param verified whether the answer certainly belongs to this grant
   */
  void answered(long nowMillis, long orderId, boolean verified) {
    InFlightGrant grant = inFlight.remove(orderId);
    if (grant != null) {
      if (verified) {
        carriedOutToken = Math.max(carriedOutToken, grant.fencingToken());
      } else {
        mayBeLate(nowMillis, grant);
      }
      answeredExpiryMillis =
          Math.max(
              answeredExpiryMillis,
              nowMillis + MAX_TRANSIT_MILLIS + withClockDrift(grant.holdMillis()));
      confirmedUntilMillis =
          Math.max(confirmedUntilMillis, grant.sentMillis() + grant.holdMillis());
    }
  }

  /** Records that the call of a grant has just been reset without an answer. */
  void unanswered(long nowMillis, long orderId) {
    InFlightGrant grant = inFlight.remove(orderId);
    if (grant != null) {
      unansweredExpiryMillis =
          Math.max(
              unansweredExpiryMillis,
              nowMillis + MAX_TRANSIT_MILLIS + withClockDrift(grant.holdMillis()));
      mayBeLate(nowMillis, grant);
    }
  }

  private void mayBeLate(long nowMillis, InFlightGrant grant) {
    lateExpiryMillis =
        Math.max(
            lateExpiryMillis, nowMillis + MAX_TRANSIT_MILLIS + withClockDrift(grant.holdMillis()));
    lateToken = Math.max(lateToken, grant.fencingToken());
  }

  /** Records that a grant was not sent or was not carried out. */
  void refused(long orderId) {
    inFlight.remove(orderId);
  }

  /** Returns the ids of the orders whose grants are in flight. */
  Set<Long> inFlightOrderIds() {
    return inFlight.keySet();
  }

  /** Returns whether a grant, possibly of an earlier coordinator, may be in flight. */
  boolean mayBeInFlight(long nowMillis) {
    return !inFlight.isEmpty() || nowMillis <= inheritedArrivalMillis;
  }

  /**
   * Returns the time after which the upstream no longer holds the range.
   *
   * <p>This is an estimate while a grant is in flight.
   */
  long latestExpiryMillis() {
    long inFlightExpiryMillis =
        inFlight.values().stream().mapToLong(InFlightGrant::latestExpiryMillis).max().orElse(NEVER);
    return Math.max(inFlightExpiryMillis, Math.max(answeredExpiryMillis, unansweredExpiryMillis));
  }

  /**
   * Returns whether an answered grant is certainly valid, provided that the upstream still runs.
   */
  boolean hasConfirmedGrant(long nowMillis) {
    return nowMillis < confirmedUntilMillis;
  }

  /** Returns the time after which no unanswered grant is valid. */
  long unansweredExpiryMillis() {
    return unansweredExpiryMillis;
  }

  /**
   * Returns whether no grant is known that is likely to delay a hand-over: no grant of an earlier
   * coordinator should still be in transit, and none of this one is left unanswered.
   */
  boolean settled(long nowMillis) {
    return nowMillis > inheritedArrivalMillis && nowMillis > unansweredExpiryMillis;
  }

  /**
   * Returns whether the answer to a release that is sent now ends all grants: the upstream refuses
   * each grant that may still be carried out, or its hold time will have passed by then.
   */
  boolean releaseEndsAllGrants(long nowMillis) {
    boolean lateGrantsEnd = lateToken < carriedOutToken || nowMillis > lateExpiryMillis;
    return lateGrantsEnd
        && inheritedGrantsEnd()
        && inFlight.values().stream().allMatch(grant -> grant.fencingToken() < carriedOutToken);
  }

  /**
   * Returns whether there are no grants of earlier coordinators, or the upstream refuses them.
   *
   * <p>Time does not end them: one whose sender was killed arrives when a partition ends.
   */
  boolean inheritedGrantsEnd() {
    return inheritedToken == 0 || inheritedToken < carriedOutToken;
  }

  /** Describes the grants for a log line, with times relative to now. */
  String describe(long nowMillis) {
    return "answered grants expire by "
        + fromNow(nowMillis, answeredExpiryMillis)
        + ", unanswered grants by "
        + fromNow(nowMillis, unansweredExpiryMillis)
        + ", "
        + inFlight.size()
        + " in flight, tokens of late grants up to "
        + lateToken
        + ", of earlier terms up to "
        + inheritedToken
        + ", certainly carried out "
        + carriedOutToken;
  }

  private static String fromNow(long nowMillis, long timeMillis) {
    return timeMillis < EARLIEST_EXPIRY_MILLIS
        ? "never"
        : String.format("%+d ms", timeMillis - nowMillis);
  }

  private static long withClockDrift(long holdMillis) {
    return holdMillis + holdMillis / CLOCK_DRIFT_DIVISOR;
  }
}
