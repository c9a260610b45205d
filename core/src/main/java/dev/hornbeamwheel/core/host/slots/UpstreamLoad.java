package dev.hornbeamwheel.core.host.slots;

import java.util.HashMap;
import java.util.Map;

/** What the coordinator knows of the work at one upstream. */
final class UpstreamLoad {
  /** Weight of the newest run time in the mean. */
  private static final double RUN_WEIGHT = 0.12;

  /** Weight of the newest outcome in the failure rate. */
  private static final double FAILURE_WEIGHT = 0.25;

  /** An upstream that gives no answer more often than this gets only single requests. */
  private static final double SILENT_RATE = 0.5;

  /** Pause after a refusal, in milliseconds; the upstream may only shed load. */
  private static final long REFUSED_PAUSE_MILLIS = 10;

  /** Shortest and longest pause of an upstream that fails, in milliseconds. */
  private static final long PAUSE_MILLIS = 300;

  private static final long MAX_PAUSE_MILLIS = 3_000;

  /** A figure of how long work takes is trusted for so long, in milliseconds. */
  private static final long WORK_FIGURE_MILLIS = 400;

  /** Most requests that a cold upstream may get at one moment. */
  private static final double COLD_BURST = 1;

  private final Map<Ticket, Long> running = new HashMap<>();
  private double runMillis;
  private double failureRate;
  private double silentRate;
  private long pauseMillis = PAUSE_MILLIS;
  private long pausedUntil;
  private int workPercent = 100;
  private long workPercentMillis;
  private double coldTokens = COLD_BURST;
  private long coldRefilledMillis;

  UpstreamLoad(double runMillis) {
    this.runMillis = runMillis;
  }

  int running() {
    return running.size();
  }

  double runMillis() {
    return runMillis;
  }

  /** Returns how long a request would take if it began now, in milliseconds. */
  double expectedMillis(long nowMillis) {
    boolean fresh = nowMillis - workPercentMillis < WORK_FIGURE_MILLIS;
    return fresh ? runMillis * Math.max(1, workPercent / 100.0) : runMillis;
  }

  double failureRate() {
    return failureRate;
  }

  long pausedUntil() {
    return pausedUntil;
  }

  /** Returns whether a request may begin now. */
  boolean free(long nowMillis, int slots, boolean cold, double coldPerSecond) {
    if (nowMillis < pausedUntil || running.size() >= slots) {
      return false;
    }
    if (silentRate > SILENT_RATE && !running.isEmpty()) {
      return false;
    }
    return !cold || coldPerSecond <= 0 || coldTokens(nowMillis, coldPerSecond) >= 1;
  }

  private double coldTokens(long nowMillis, double perSecond) {
    double refill = (nowMillis - coldRefilledMillis) * perSecond / 1_000;
    coldTokens = Math.min(COLD_BURST, coldTokens + refill);
    coldRefilledMillis = nowMillis;
    return coldTokens;
  }

  void begin(long nowMillis, Ticket ticket, boolean cold) {
    running.put(ticket, nowMillis);
    if (cold) {
      coldTokens -= 1;
    }
  }

  boolean holds(Ticket ticket) {
    return running.containsKey(ticket);
  }

  void end(long nowMillis, Ticket ticket, Completion completion, long ranMillis, int percent) {
    if (running.remove(ticket) == null) {
      return;
    }
    if (percent > 0) {
      workPercent = percent;
      workPercentMillis = nowMillis;
    }
    switch (completion) {
      case SERVED -> {
        runMillis += RUN_WEIGHT * (ranMillis - runMillis);
        sound();
      }
      case TIMED_OUT -> {
        runMillis += RUN_WEIGHT * Math.max(0, ranMillis - runMillis);
        failed(true);
      }
      case BROKEN -> failed(true);
      case FAILED -> failed(false);
      case NOT_RUN -> {
        failed(false);
        pausedUntil = Math.max(pausedUntil, nowMillis + REFUSED_PAUSE_MILLIS);
      }
      case UNREACHABLE -> {
        failed(true);
        pause(nowMillis);
      }
      default -> {
        // A misdirected or cancelled request says nothing of the upstream's health.
      }
    }
  }

  void dropLink(LinkId link) {
    running.keySet().removeIf(ticket -> ticket.link().equals(link));
  }

  private void failed(boolean silently) {
    failureRate += FAILURE_WEIGHT * (1 - failureRate);
    silentRate += FAILURE_WEIGHT * ((silently ? 1 : 0) - silentRate);
  }

  private void sound() {
    failureRate -= FAILURE_WEIGHT * failureRate;
    silentRate -= FAILURE_WEIGHT * silentRate;
    pauseMillis = PAUSE_MILLIS;
  }

  private void pause(long nowMillis) {
    pausedUntil = nowMillis + pauseMillis;
    pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
  }
}
