package dev.hornbeamwheel.core.host.slots;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The coordinator's view of the load and the health of one upstream. */
final class UpstreamLoad {
  /** Weight of the latest run time in the moving average. */
  private static final double RUN_WEIGHT = 0.12;

  /** Weight of the latest outcome in the moving averages of failures. */
  private static final double OUTCOME_WEIGHT = 0.25;

  /** An upstream with a higher rate of attempts without a response gets one request at a time. */
  private static final double MAX_NO_RESPONSE_RATE = 0.5;

  /**
   * Backoff after a refusal, in milliseconds; short since the upstream may only be shedding load.
   */
  private static final long REFUSAL_BACKOFF_MILLIS = 10;

  /** Backoff after the first failed connection, in milliseconds; doubles with each further one. */
  private static final long MIN_BACKOFF_MILLIS = 300;

  /** Maximum backoff after failed connections, in milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 3_000;

  /** Age after which a reported relative run time is ignored, in milliseconds. */
  private static final long RELATIVE_WORK_MAX_AGE_MILLIS = 400;

  /** Burst size of the token bucket that limits the requests to a cold upstream. */
  private static final double MAX_COLD_TOKENS = 1;

  private final Map<SlotRequestId, Long> startMillisByRequest = new HashMap<>();
  private final Set<SlotRequestId> runningSuspects = new HashSet<>();
  private double meanRunMillis;
  private double failureRate;
  private double noResponseRate;
  private long nextBackoffMillis = MIN_BACKOFF_MILLIS;
  private long backoffUntilMillis;
  private int relativeWorkPercent = 100;
  private long relativeWorkReportedMillis;
  private double coldTokens = MAX_COLD_TOKENS;
  private long coldRefilledMillis;

  UpstreamLoad(double runMillis) {
    this.meanRunMillis = runMillis;
  }

  double meanRunMillis() {
    return meanRunMillis;
  }

  /** Returns the expected run time of a request that starts now, in milliseconds. */
  double expectedRunMillis(long nowMillis) {
    boolean current = nowMillis - relativeWorkReportedMillis < RELATIVE_WORK_MAX_AGE_MILLIS;
    return current ? meanRunMillis * Math.max(1, relativeWorkPercent / 100.0) : meanRunMillis;
  }

  double failureRate() {
    return failureRate;
  }

  long backoffUntilMillis() {
    return backoffUntilMillis;
  }

  /** Returns whether a request may start now. */
  boolean canStart(long nowMillis, int slots, boolean cold, double coldPerSecond) {
    if (nowMillis < backoffUntilMillis || startMillisByRequest.size() >= slots) {
      return false;
    }
    if (noResponseRate > MAX_NO_RESPONSE_RATE && !startMillisByRequest.isEmpty()) {
      return false;
    }
    return !cold || coldPerSecond <= 0 || coldTokens(nowMillis, coldPerSecond) >= 1;
  }

  /** Returns whether a request runs that may have ended another upstream. */
  boolean runsSuspect() {
    return !runningSuspects.isEmpty();
  }

  private double coldTokens(long nowMillis, double perSecond) {
    double refill = (nowMillis - coldRefilledMillis) * perSecond / 1_000;
    coldTokens = Math.min(MAX_COLD_TOKENS, coldTokens + refill);
    coldRefilledMillis = nowMillis;
    return coldTokens;
  }

  void recordStart(long nowMillis, SlotRequestId requestId, boolean cold, boolean suspect) {
    startMillisByRequest.put(requestId, nowMillis);
    if (suspect) {
      runningSuspects.add(requestId);
    }
    if (cold) {
      coldTokens -= 1;
    }
  }

  void recordEnd(
      long nowMillis,
      SlotRequestId requestId,
      Completion completion,
      long runMillis,
      int currentWorkPercent) {
    if (startMillisByRequest.remove(requestId) == null) {
      return;
    }
    runningSuspects.remove(requestId);
    if (currentWorkPercent > 0) {
      relativeWorkPercent = currentWorkPercent;
      relativeWorkReportedMillis = nowMillis;
    }
    switch (completion) {
      case SERVED -> {
        meanRunMillis += RUN_WEIGHT * (runMillis - meanRunMillis);
        recordSuccess();
      }
      case TIMED_OUT -> {
        meanRunMillis += RUN_WEIGHT * Math.max(0, runMillis - meanRunMillis);
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
        // A misdirected or cancelled request does not indicate the health of the upstream.
      }
    }
  }

  void removeAll(LinkId link) {
    startMillisByRequest.keySet().removeIf(requestId -> requestId.link().equals(link));
    runningSuspects.removeIf(requestId -> requestId.link().equals(link));
  }

  private void recordFailure(boolean noResponse) {
    failureRate += OUTCOME_WEIGHT * (1 - failureRate);
    noResponseRate += OUTCOME_WEIGHT * ((noResponse ? 1 : 0) - noResponseRate);
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
