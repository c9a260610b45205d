package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.capacity.UpstreamCapacity;
import dev.hornbeamwheel.core.host.cold.Pacer;
import dev.hornbeamwheel.core.model.RouteId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The coordinator's view of the load and the health of one upstream. */
final class UpstreamLoad {
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

  /** The running requests; empty for those whose kind is unknown. */
  private final Map<SlotRequestId, Optional<UpstreamCapacity.Start>> running = new HashMap<>();

  private final Set<SlotRequestId> runningSuspects = new HashSet<>();
  private double failureRate;
  private double noResponseRate;
  private long nextBackoffMillis = MIN_BACKOFF_MILLIS;
  private long backoffUntilMillis;
  private int relativeWorkPercent = 100;
  private long relativeWorkReportedMillis;
  private final Pacer coldPacer;
  private final UpstreamCapacity capacity;

  /**
   * Creates the load of an idle upstream.
   *
   * @param capacity learned run times and concurrency limit
   * @param coldPacer pacer of the requests while the upstream is cold
   */
  UpstreamLoad(UpstreamCapacity capacity, Pacer coldPacer) {
    this.capacity = capacity;
    this.coldPacer = coldPacer;
  }

  UpstreamCapacity capacity() {
    return capacity;
  }

  /**
   * Returns the expected run time of a request that starts now, in milliseconds.
   *
   * @param workMillis mean run time of its kind in the service, in milliseconds
   */
  double expectedRunMillis(long nowMillis, double workMillis) {
    boolean current = nowMillis - relativeWorkReportedMillis < RELATIVE_WORK_MAX_AGE_MILLIS;
    double usualMillis = workMillis * capacity.slowness();
    return current ? usualMillis * Math.max(1, relativeWorkPercent / 100.0) : usualMillis;
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
    if (nowMillis < backoffUntilMillis || running.size() >= capacity.limit(slots)) {
      return false;
    }
    if (noResponseRate > MAX_NO_RESPONSE_RATE && !running.isEmpty()) {
      return false;
    }
    return !paced || coldPacer.ready(nowMillis);
  }

  /** Returns why no request may start now, or empty if one may; for operators. */
  Optional<String> obstacle(long nowMillis, int slots, boolean paced) {
    if (canStart(nowMillis, slots, paced)) {
      return Optional.empty();
    }
    if (nowMillis < backoffUntilMillis) {
      long remainingMillis = backoffUntilMillis - nowMillis;
      return Optional.of("in backoff for " + remainingMillis + " ms after refused requests");
    }
    int limit = capacity.limit(slots);
    if (running.size() >= limit) {
      return Optional.of("runs " + running.size() + " requests, its limit is " + limit);
    }
    return Optional.of(
        noResponseRate > MAX_NO_RESPONSE_RATE && !running.isEmpty()
            ? "gets one request at a time after missing responses"
            : "cold, and its requests are paced");
  }

  /** Returns whether a request runs that may have ended another upstream. */
  boolean runsSuspect() {
    return !runningSuspects.isEmpty();
  }

  /**
   * Records the start of a request.
   *
   * @param route kind of the request, or empty if it is unknown
   * @param pacedPerSecond rate at which requests are paced, in requests per second; zero if the
   *     upstream is not cold or its rate is not limited
   */
  void recordStart(
      long nowMillis,
      SlotRequestId requestId,
      Optional<RouteId> route,
      double pacedPerSecond,
      boolean suspect) {
    int runningNow = running.size() + 1;
    running.put(requestId, route.map(kind -> capacity.start(nowMillis, kind, runningNow)));
    if (suspect) {
      runningSuspects.add(requestId);
    }
    if (pacedPerSecond > 0) {
      coldPacer.record(nowMillis, MILLIS_PER_SECOND / pacedPerSecond);
    }
  }

  /**
   * Records the end of a request.
   *
   * @param warm whether the upstream is not cold, so that its run times show its load
   */
  void recordEnd(
      long nowMillis,
      SlotRequestId requestId,
      Completion completion,
      long runMillis,
      int currentWorkPercent,
      boolean warm) {
    int runningBefore = running.size();
    Optional<UpstreamCapacity.Start> start = running.remove(requestId);
    if (start == null) {
      return;
    }
    capacity.recordWork(currentWorkPercent);
    runningSuspects.remove(requestId);
    if (currentWorkPercent > 0) {
      relativeWorkPercent = currentWorkPercent;
      relativeWorkReportedMillis = nowMillis;
    }
    switch (completion) {
      case SERVED -> {
        start.ifPresent(
            started -> capacity.recordServed(nowMillis, started, runMillis, runningBefore, warm));
        recordSuccess();
      }
      case TIMED_OUT -> {
        start.ifPresent(started -> capacity.recordTimedOut(started, runMillis));
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
    running.keySet().removeIf(requestId -> requestId.link().equals(link));
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
