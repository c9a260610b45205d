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
final class GrantClock {
  /** A call without an answer is reset after this time, in milliseconds. */
  static final long CALL_MILLIS = 700;

  /** What an order may spend on its way after the reset, in milliseconds. */
  private static final long FLIGHT_MILLIS = 100;

  /** Clocks of upstreams may be slower than ours by one in so many. */
  private static final long DRIFT_ONE_IN = 50;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * A grant without an answer so far.
   *
   * @param sentMillis when it was sent
   * @param endsBy when its hold has run out if it is never answered and is reset in time
   */
  private record OpenGrant(long sentMillis, long holdMillis, long endsBy) {}

  private final Map<Long, OpenGrant> open = new HashMap<>();
  private long answeredUntil = NEVER;
  private long unansweredUntil = NEVER;
  private long surelyUntil = NEVER;
  private long arrivingUntil = NEVER;

  private GrantClock() {}

  static GrantClock neverGranted() {
    return new GrantClock();
  }

  /**
   * Returns the clock of a range that earlier coordinators may have granted until a time.
   *
   * @param arrivingUntilMillis until when a grant of an earlier coordinator may still arrive
   */
  static GrantClock grantedUntil(long untilMillis, long arrivingUntilMillis) {
    GrantClock clock = new GrantClock();
    clock.answeredUntil = untilMillis;
    clock.arrivingUntil = arrivingUntilMillis;
    return clock;
  }

  /** Returns the time after which no grant that was sent by now can arrive, if it is reset. */
  static long lastArrival(long nowMillis) {
    return nowMillis + CALL_MILLIS + FLIGHT_MILLIS;
  }

  GrantClock copy() {
    GrantClock copy = new GrantClock();
    copy.open.putAll(open);
    copy.answeredUntil = answeredUntil;
    copy.unansweredUntil = unansweredUntil;
    copy.surelyUntil = surelyUntil;
    copy.arrivingUntil = arrivingUntil;
    return copy;
  }

  /** Returns the clock of a range whose parts were granted by these clocks. */
  static GrantClock of(List<GrantClock> parts) {
    GrantClock whole = new GrantClock();
    whole.surelyUntil = parts.stream().mapToLong(part -> part.surelyUntil).min().orElse(NEVER);
    parts.forEach(
        part -> {
          whole.open.putAll(part.open);
          whole.answeredUntil = Math.max(whole.answeredUntil, part.answeredUntil);
          whole.unansweredUntil = Math.max(whole.unansweredUntil, part.unansweredUntil);
          whole.arrivingUntil = Math.max(whole.arrivingUntil, part.arrivingUntil);
        });
    return whole;
  }

  /** Returns whether the upstream surely holds the range no more. */
  boolean ended(long nowMillis) {
    return !waiting(nowMillis) && nowMillis > endsBy();
  }

  /** Returns when the hold of a grant that is sent now has run out, if it is reset in time. */
  static long longest(long nowMillis, long holdMillis) {
    return lastArrival(nowMillis) + stretched(holdMillis);
  }

  void sent(long nowMillis, long order, long holdMillis) {
    open.put(order, new OpenGrant(nowMillis, holdMillis, longest(nowMillis, holdMillis)));
  }

  void answered(long nowMillis, long order) {
    OpenGrant grant = open.remove(order);
    if (grant != null) {
      answeredUntil =
          Math.max(answeredUntil, nowMillis + FLIGHT_MILLIS + stretched(grant.holdMillis()));
      surelyUntil = Math.max(surelyUntil, grant.sentMillis() + grant.holdMillis());
    }
  }

  /** Notes that a call was reset just now without an answer. */
  void unanswered(long nowMillis, long order) {
    OpenGrant grant = open.remove(order);
    if (grant != null) {
      unansweredUntil =
          Math.max(unansweredUntil, nowMillis + FLIGHT_MILLIS + stretched(grant.holdMillis()));
    }
  }

  void refused(long order) {
    open.remove(order);
  }

  /** Returns the orders whose grants may still be on their way. */
  Set<Long> openOrders() {
    return open.keySet();
  }

  /** Returns whether a grant may still be on its way, one of an earlier coordinator included. */
  boolean waiting(long nowMillis) {
    return !open.isEmpty() || nowMillis <= arrivingUntil;
  }

  /**
   * Returns the time after which the upstream holds the range no more; an estimate while a grant is
   * open.
   */
  long endsBy() {
    long openUntil = open.values().stream().mapToLong(OpenGrant::endsBy).max().orElse(NEVER);
    return Math.max(openUntil, Math.max(answeredUntil, unansweredUntil));
  }

  /** Returns whether an answered grant surely lasts, unless the upstream has ended. */
  boolean surelyHeld(long nowMillis) {
    return nowMillis < surelyUntil;
  }

  /** Returns the time after which no unanswered grant can still take effect. */
  long unansweredUntil() {
    return unansweredUntil;
  }

  /** Returns what is known, for a log line; times are counted from now. */
  String describe(long nowMillis) {
    return "answered until "
        + fromNow(nowMillis, answeredUntil)
        + ", unanswered until "
        + fromNow(nowMillis, unansweredUntil)
        + ", "
        + open.size()
        + " open";
  }

  private static String fromNow(long nowMillis, long untilMillis) {
    return untilMillis == NEVER ? "never" : String.format("%+d ms", untilMillis - nowMillis);
  }

  private static long stretched(long holdMillis) {
    return holdMillis + holdMillis / DRIFT_ONE_IN;
  }
}
