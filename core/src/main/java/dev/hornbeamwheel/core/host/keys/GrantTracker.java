package dev.hornbeamwheel.core.host.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How long an upstream may hold a range, judged from the grants that were sent to it.
 *
 * <p>The hold runs from the arrival of a grant, so an answered grant ends at the latest one hold
 * after its answer. An unanswered one may be carried out late, but its time still counts from its
 * arrival, which is before the call was reset; a busy process resets it later than planned. So
 * nothing is certain about a grant while it is open.
 */
final class GrantTracker {
  /** A call without an answer is reset after this time, in milliseconds. */
  static final long CALL_TIMEOUT_MILLIS = 700;

  /** What an order may spend on its way after the reset, in milliseconds. */
  private static final long MAX_TRANSIT_MILLIS = 100;

  /** Clocks of upstreams may be slower than ours by one in so many. */
  private static final long CLOCK_DRIFT_DIVISOR = 50;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * A grant without an answer so far.
   *
   * @param sentMillis when it was sent
   * @param latestExpiryMillis when its hold has run out if it is never answered and is reset in
   *     time
   */
  private record InFlightGrant(long sentMillis, long holdMillis, long latestExpiryMillis) {}

  private final Map<Long, InFlightGrant> inFlight = new HashMap<>();
  private long answeredExpiryMillis = NEVER;
  private long unansweredExpiryMillis = NEVER;
  private long confirmedUntilMillis = NEVER;
  private long inheritedArrivalMillis = NEVER;

  private GrantTracker() {}

  static GrantTracker neverGranted() {
    return new GrantTracker();
  }

  /**
   * Returns the clock of a range that earlier coordinators may have granted until a time.
   *
   * @param arrivingUntilMillis until when a grant of an earlier coordinator may still arrive
   */
  static GrantTracker grantedUntil(long untilMillis, long arrivingUntilMillis) {
    GrantTracker clock = new GrantTracker();
    clock.answeredExpiryMillis = untilMillis;
    clock.inheritedArrivalMillis = arrivingUntilMillis;
    return clock;
  }

  /** Returns the time after which no grant that was sent by now can arrive, if it is reset. */
  static long latestArrivalMillis(long nowMillis) {
    return nowMillis + CALL_TIMEOUT_MILLIS + MAX_TRANSIT_MILLIS;
  }

  GrantTracker copy() {
    GrantTracker copy = new GrantTracker();
    copy.inFlight.putAll(inFlight);
    copy.answeredExpiryMillis = answeredExpiryMillis;
    copy.unansweredExpiryMillis = unansweredExpiryMillis;
    copy.confirmedUntilMillis = confirmedUntilMillis;
    copy.inheritedArrivalMillis = inheritedArrivalMillis;
    return copy;
  }

  /** Returns the clock of a range whose parts were granted by these clocks. */
  static GrantTracker merge(List<GrantTracker> parts) {
    GrantTracker whole = new GrantTracker();
    whole.confirmedUntilMillis =
        parts.stream().mapToLong(part -> part.confirmedUntilMillis).min().orElse(NEVER);
    parts.forEach(
        part -> {
          whole.inFlight.putAll(part.inFlight);
          whole.answeredExpiryMillis =
              Math.max(whole.answeredExpiryMillis, part.answeredExpiryMillis);
          whole.unansweredExpiryMillis =
              Math.max(whole.unansweredExpiryMillis, part.unansweredExpiryMillis);
          whole.inheritedArrivalMillis =
              Math.max(whole.inheritedArrivalMillis, part.inheritedArrivalMillis);
        });
    return whole;
  }

  /** Returns whether the upstream surely holds the range no more. */
  boolean expired(long nowMillis) {
    return !mayBeInFlight(nowMillis) && nowMillis > latestExpiryMillis();
  }

  /** Returns when the hold of a grant that is sent now has run out, if it is reset in time. */
  static long latestExpiryMillis(long nowMillis, long holdMillis) {
    return latestArrivalMillis(nowMillis) + withClockDrift(holdMillis);
  }

  void sent(long nowMillis, long order, long holdMillis) {
    inFlight.put(
        order, new InFlightGrant(nowMillis, holdMillis, latestExpiryMillis(nowMillis, holdMillis)));
  }

  void answered(long nowMillis, long order) {
    InFlightGrant grant = inFlight.remove(order);
    if (grant != null) {
      answeredExpiryMillis =
          Math.max(
              answeredExpiryMillis,
              nowMillis + MAX_TRANSIT_MILLIS + withClockDrift(grant.holdMillis()));
      confirmedUntilMillis =
          Math.max(confirmedUntilMillis, grant.sentMillis() + grant.holdMillis());
    }
  }

  /** Notes that a call was reset just now without an answer. */
  void unanswered(long nowMillis, long order) {
    InFlightGrant grant = inFlight.remove(order);
    if (grant != null) {
      unansweredExpiryMillis =
          Math.max(
              unansweredExpiryMillis,
              nowMillis + MAX_TRANSIT_MILLIS + withClockDrift(grant.holdMillis()));
    }
  }

  void refused(long order) {
    inFlight.remove(order);
  }

  /** Returns the orders whose grants may still be on their way. */
  Set<Long> inFlightOrderIds() {
    return inFlight.keySet();
  }

  /** Returns whether a grant may still be on its way, one of an earlier coordinator included. */
  boolean mayBeInFlight(long nowMillis) {
    return !inFlight.isEmpty() || nowMillis <= inheritedArrivalMillis;
  }

  /**
   * Returns the time after which the upstream holds the range no more; an estimate while a grant is
   * open.
   */
  long latestExpiryMillis() {
    long openUntil =
        inFlight.values().stream().mapToLong(InFlightGrant::latestExpiryMillis).max().orElse(NEVER);
    return Math.max(openUntil, Math.max(answeredExpiryMillis, unansweredExpiryMillis));
  }

  /** Returns whether an answered grant surely lasts, unless the upstream has ended. */
  boolean hasConfirmedGrant(long nowMillis) {
    return nowMillis < confirmedUntilMillis;
  }

  /** Returns the time after which no unanswered grant can still take effect. */
  long unansweredExpiryMillis() {
    return unansweredExpiryMillis;
  }

  /** Returns what is known, for a log line; times are counted from now. */
  String describe(long nowMillis) {
    return "answered until "
        + fromNow(nowMillis, answeredExpiryMillis)
        + ", unanswered until "
        + fromNow(nowMillis, unansweredExpiryMillis)
        + ", "
        + inFlight.size()
        + " open";
  }

  private static String fromNow(long nowMillis, long untilMillis) {
    return untilMillis == NEVER ? "never" : String.format("%+d ms", untilMillis - nowMillis);
  }

  private static long withClockDrift(long holdMillis) {
    return holdMillis + holdMillis / CLOCK_DRIFT_DIVISOR;
  }
}
