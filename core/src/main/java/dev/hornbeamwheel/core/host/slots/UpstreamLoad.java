package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.cold.Pacer;
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

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<SlotRequestId, Long> startMillisByRequest = new HashMap<>();
  private final Set<SlotRequestId> runningSuspects = new HashSet<>();
  private double meanRunMillis;
  private double failureRate;
  private double noResponseRate;
  private long nextBackoffMillis = MIN_BACKOFF_MILLIS;
  private long backoffUntilMillis;
  private int relativeWorkPercent = 100;
  private long relativeWorkReportedMillis;
  private final Pacer coldPacer;

  /**
   * Creates the load of an idle upstream.
   *
   * @param runMillis assumed run time of a request, in milliseconds
   * @param coldPacer pacer of the requests while the upstream is cold
   */
  UpstreamLoad(double runMillis, Pacer coldPacer) {
    this.meanRunMillis = runMillis;
    this.coldPacer = coldPacer;
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

  /**
   * Returns whether a request may start now.
   *
   * @param paced whether the upstream is cold, and its requests are paced
   */
  boolean canStart(long nowMillis, int slots, boolean paced) {
    if (nowMillis < backoffUntilMillis || startMillisByRequest.size() >= slots) {
      return false;
    }
    if (noResponseRate > MAX_NO_RESPONSE_RATE && !startMillisByRequest.isEmpty()) {
      return false;
    }
    return !paced || coldPacer.ready(nowMillis);
  }

  /** Returns whether a request runs that may have ended another upstream. */
  boolean runsSuspect() {
    return !runningSuspects.isEmpty();
  }

  /**
   * Records the start of a request.
   *
   * @param pacedPerSecond rate at which requests are paced, in requests per second; zero if the
   *     upstream is not cold or its rate is not limited
   */
  void recordStart(
      long nowMillis, SlotRequestId requestId, double pacedPerSecond, boolean suspect) {
    startMillisByRequest.put(requestId, nowMillis);
    if (suspect) {
      runningSuspects.add(requestId);
    }
    if (pacedPerSecond > 0) {
      coldPacer.record(nowMillis, MILLIS_PER_SECOND / pacedPerSecond);
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
