package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.dispatch.Dispatcher;
import dev.hornbeamwheel.core.dispatch.Temperature;
import dev.hornbeamwheel.core.model.UpstreamId;

/** What this router knows of one upstream by itself and from dispatchers. */
final class UpstreamView {
  private static final long INITIAL_PAUSE_MILLIS = 100;
  private static final int MAX_PAUSE_DOUBLINGS = 5;
  private static final double MILLIS_PER_SECOND = 1000.0;

  int inFlight;
  private Temperature temperature;
  private long changedAtMillis;
  private long pausedUntilMillis;
  private int consecutiveFailures;
  private double coldStartTokens;
  private long tokensRefilledAtMillis = -1;

  UpstreamView(UpstreamId upstream) {
    temperature = new Temperature(upstream, 0, 0, 0, false);
  }

  Temperature temperature() {
    return temperature;
  }

  long changedAtMillis() {
    return changedAtMillis;
  }

  boolean paused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }

  boolean failing() {
    return consecutiveFailures > 0;
  }

  /** Takes over what a dispatcher knows, if it is later. */
  void merge(long nowMillis, Temperature other) {
    boolean later = other.coldStarts() > temperature.coldStarts();
    boolean same = other.coldStarts() == temperature.coldStarts();
    boolean warmer = same && other.ratePerSecond() > temperature.ratePerSecond();
    if (later || warmer || (same && other.warm() && !temperature.warm())) {
      temperature = other;
      changedAtMillis = nowMillis;
    }
  }

  /** Takes note of an incarnation; a new one is cold. */
  void recordIncarnation(long nowMillis, long incarnation) {
    if (incarnation == 0 || incarnation == temperature.incarnation()) {
      return;
    }
    boolean restarted = temperature.incarnation() != 0;
    temperature =
        new Temperature(
            temperature.upstream(),
            incarnation,
            temperature.coldStarts() + (restarted ? 1 : 0),
            restarted ? 0 : temperature.ratePerSecond(),
            !restarted && temperature.warm());
    changedAtMillis = nowMillis;
  }

  /** Counts an upstream as cold and pauses it after a loss. */
  void recordLoss(long nowMillis) {
    temperature =
        new Temperature(
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
    pausedUntilMillis =
        nowMillis + (INITIAL_PAUSE_MILLIS << Math.min(consecutiveFailures, MAX_PAUSE_DOUBLINGS));
    consecutiveFailures++;
  }

  void recordSuccess() {
    consecutiveFailures = 0;
  }

  /**
   * Returns whether this router may send a request without a dispatcher, and counts it.
   *
   * @param routers routers of the fleet, which share what dispatchers leave of the initial rate
   */
  boolean tryTakeColdStartToken(long nowMillis, ColdStart coldStart, int routers) {
    if (temperature.warm()) {
      return true;
    }
    double rate = coldStart.initialRatePerSecond() * Dispatcher.RESERVED_SHARE / routers;
    long since = tokensRefilledAtMillis < 0 ? nowMillis : tokensRefilledAtMillis;
    coldStartTokens = Math.min(1, coldStartTokens + (nowMillis - since) / MILLIS_PER_SECOND * rate);
    tokensRefilledAtMillis = nowMillis;
    if (coldStartTokens < 1) {
      return false;
    }
    coldStartTokens -= 1;
    return true;
  }
}
