package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.dispatch.Dispatcher;
import dev.hornbeamwheel.core.dispatch.WarmUpState;
import dev.hornbeamwheel.core.model.UpstreamId;

/** What this router knows of one upstream by itself and from dispatchers. */
final class UpstreamView {
  private static final long FIRST_PAUSE_MILLIS = 100;
  private static final int MAX_PAUSE_DOUBLINGS = 5;
  private static final double MILLIS_PER_SECOND = 1000.0;

  int inFlight;
  private WarmUpState temperature;
  private long changedAtMillis;
  private long pausedUntilMillis;
  private int failures;
  private double shareTokens;
  private long shareRefilledAtMillis = -1;

  UpstreamView(UpstreamId upstream) {
    temperature = new WarmUpState(upstream, 0, 0, 0, false);
  }

  WarmUpState temperature() {
    return temperature;
  }

  long changedAtMillis() {
    return changedAtMillis;
  }

  boolean paused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }

  boolean failing() {
    return failures > 0;
  }

  /** Takes over what a dispatcher knows, if it is later. */
  void merge(long nowMillis, WarmUpState other) {
    boolean later = other.coldStarts() > temperature.coldStarts();
    boolean same = other.coldStarts() == temperature.coldStarts();
    boolean warmer = same && other.ratePerSecond() > temperature.ratePerSecond();
    if (later || warmer || (same && other.warm() && !temperature.warm())) {
      temperature = other;
      changedAtMillis = nowMillis;
    }
  }

  /** Takes note of an incarnation; a new one is cold. */
  void seen(long nowMillis, long incarnation) {
    if (incarnation == 0 || incarnation == temperature.incarnation()) {
      return;
    }
    boolean restarted = temperature.incarnation() != 0;
    temperature =
        new WarmUpState(
            temperature.upstream(),
            incarnation,
            temperature.coldStarts() + (restarted ? 1 : 0),
            restarted ? 0 : temperature.ratePerSecond(),
            !restarted && temperature.warm());
    changedAtMillis = nowMillis;
  }

  /** Counts an upstream as cold and pauses it after a loss. */
  void lost(long nowMillis) {
    temperature =
        new WarmUpState(
            temperature.upstream(),
            temperature.incarnation(),
            temperature.coldStarts() + 1,
            0,
            false);
    changedAtMillis = nowMillis;
    pause(nowMillis);
  }

  /** Leaves an upstream alone for a while, longer each time in a row. */
  void pause(long nowMillis) {
    pausedUntilMillis = nowMillis + (FIRST_PAUSE_MILLIS << Math.min(failures, MAX_PAUSE_DOUBLINGS));
    failures++;
  }

  void completed() {
    failures = 0;
  }

  /**
   * Returns whether this router may send a request without a dispatcher, and counts it.
   *
   * @param routers routers of the fleet, which share what dispatchers leave of the initial rate
   */
  boolean takeShare(long nowMillis, ColdStart coldStart, int routers) {
    if (temperature.warm()) {
      return true;
    }
    double rate = coldStart.initialRatePerSecond() * Dispatcher.RESERVED_RATE_FRACTION / routers;
    long since = shareRefilledAtMillis < 0 ? nowMillis : shareRefilledAtMillis;
    shareTokens = Math.min(1, shareTokens + (nowMillis - since) / MILLIS_PER_SECOND * rate);
    shareRefilledAtMillis = nowMillis;
    if (shareTokens < 1) {
      return false;
    }
    shareTokens -= 1;
    return true;
  }
}
