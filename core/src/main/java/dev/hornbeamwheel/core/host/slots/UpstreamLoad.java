package dev.hornbeamwheel.core.host.slots;

import java.util.HashMap;
import java.util.Map;

/** What the coordinator knows of the work at one upstream. */
final class UpstreamLoad {
  /** Weight of the newest run time in the mean. */
  private static final double RUN_WEIGHT = 0.12;

  /** Weight of the newest outcome in the failure rate. */
  private static final double OUTCOME_WEIGHT = 0.25;

  /** An upstream that gives no answer more often than this gets only single requests. */
  private static final double MAX_NO_RESPONSE_RATE = 0.5;

  /** Pause after a refusal, in milliseconds; the upstream may only shed load. */
  private static final long REFUSAL_BACKOFF_MILLIS = 10;

  /** Shortest and longest pause of an upstream that fails, in milliseconds. */
  private static final long MIN_BACKOFF_MILLIS = 300;

  private static final long MAX_BACKOFF_MILLIS = 3_000;

  /** A figure of how long work takes is trusted for so long, in milliseconds. */
  private static final long RELATIVE_WORK_MAX_AGE_MILLIS = 400;

  /** Most requests that a cold upstream may get at one moment. */
  private static final double MAX_COLD_TOKENS = 1;

  private final Map<SlotRequestId, Long> startMillis = new HashMap<>();
  private double meanRunMillis;
  private double failureRate;
  private double noResponseRate;
  private long nextBackoffMillis = MIN_BACKOFF_MILLIS;
  private long backoffUntilMillis;
  private int relativeWorkPercent = 100;
  private long relativeWorkMillis;
  private double coldTokens = MAX_COLD_TOKENS;
  private long coldRefilledMillis;

  UpstreamLoad(double runMillis) {
    this.meanRunMillis = runMillis;
  }

  int startMillis() {
    return startMillis.size();
  }

  double meanRunMillis() {
    return meanRunMillis;
  }

  /** Returns how long a request would take if it began now, in milliseconds. */
  double expectedRunMillis(long nowMillis) {
    boolean fresh = nowMillis - relativeWorkMillis < RELATIVE_WORK_MAX_AGE_MILLIS;
    return fresh ? meanRunMillis * Math.max(1, relativeWorkPercent / 100.0) : meanRunMillis;
  }

  double failureRate() {
    return failureRate;
  }

  long backoffUntilMillis() {
    return backoffUntilMillis;
  }

  /** Returns whether a request may begin now. */
  boolean canStart(long nowMillis, int slots, boolean cold, double coldPerSecond) {
    if (nowMillis < backoffUntilMillis || startMillis.size() >= slots) {
      return false;
    }
    if (noResponseRate > MAX_NO_RESPONSE_RATE && !startMillis.isEmpty()) {
      return false;
    }
    return !cold || coldPerSecond <= 0 || coldTokens(nowMillis, coldPerSecond) >= 1;
  }

  private double coldTokens(long nowMillis, double perSecond) {
    double refill = (nowMillis - coldRefilledMillis) * perSecond / 1_000;
    coldTokens = Math.min(MAX_COLD_TOKENS, coldTokens + refill);
    coldRefilledMillis = nowMillis;
    return coldTokens;
  }

  void begin(long nowMillis, SlotRequestId ticket, boolean cold) {
    startMillis.put(ticket, nowMillis);
    if (cold) {
      coldTokens -= 1;
    }
  }

  boolean holds(SlotRequestId ticket) {
    return startMillis.containsKey(ticket);
  }

  void end(
      long nowMillis, SlotRequestId ticket, Completion completion, long ranMillis, int percent) {
    if (startMillis.remove(ticket) == null) {
      return;
    }
    if (percent > 0) {
      relativeWorkPercent = percent;
      relativeWorkMillis = nowMillis;
    }
    switch (completion) {
      case SERVED -> {
        meanRunMillis += RUN_WEIGHT * (ranMillis - meanRunMillis);
        recordSuccess();
      }
      case TIMED_OUT -> {
        meanRunMillis += RUN_WEIGHT * Math.max(0, ranMillis - meanRunMillis);
        recordFailure(true);
      }
      case BROKEN -> recordFailure(true);
      case FAILED -> recordFailure(false);
      case NOT_RUN -> {
        recordFailure(false);
        backoffUntilMillis = Math.max(backoffUntilMillis, nowMillis + REFUSAL_BACKOFF_MILLIS);
      }
      case UNREACHABLE -> {
        recordFailure(true);
        backOff(nowMillis);
      }
      default -> {
        // A misdirected or cancelled request says nothing of the upstream's health.
      }
    }
  }

  void removeAll(LinkId link) {
    startMillis.keySet().removeIf(ticket -> ticket.link().equals(link));
  }

  private void recordFailure(boolean silently) {
    failureRate += OUTCOME_WEIGHT * (1 - failureRate);
    noResponseRate += OUTCOME_WEIGHT * ((silently ? 1 : 0) - noResponseRate);
  }

  private void recordSuccess() {
    failureRate -= OUTCOME_WEIGHT * failureRate;
    noResponseRate -= OUTCOME_WEIGHT * noResponseRate;
    nextBackoffMillis = MIN_BACKOFF_MILLIS;
  }

  private void backOff(long nowMillis) {
    backoffUntilMillis = nowMillis + nextBackoffMillis;
    nextBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, nextBackoffMillis * 2);
  }
}
