package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.dispatch.Dispatcher;
import dev.hornbeamwheel.core.dispatch.WarmUpState;
import dev.hornbeamwheel.core.model.UpstreamId;

/** Local view of one upstream, from this router's own requests and from dispatchers. */
final class UpstreamView {
  private static final long INITIAL_PAUSE_MILLIS = 100;
  private static final int MAX_PAUSE_DOUBLINGS = 5;
  private static final double MILLIS_PER_SECOND = 1000.0;

  int inFlight;
  private WarmUpState temperature;
  private long changedAtMillis;
  private long pausedUntilMillis;
  private int consecutiveFailures;
  private double coldStartTokens;
  private long tokensRefilledAtMillis = -1;

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
    return consecutiveFailures > 0;
  }

  /** Adopts the temperature that a dispatcher reports, if it is newer. */
  void merge(long nowMillis, WarmUpState other) {
    boolean newer = other.coldStarts() > temperature.coldStarts();
    boolean same = other.coldStarts() == temperature.coldStarts();
    boolean warmer = same && other.ratePerSecond() > temperature.ratePerSecond();
    if (newer || warmer || (same && other.warm() && !temperature.warm())) {
      temperature = other;
      changedAtMillis = nowMillis;
    }
  }

  /** Records the observed incarnation; a restarted upstream is cold. */
  void recordIncarnation(long nowMillis, long incarnation) {
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

  /** Marks the upstream as cold and pauses it after its connection was lost. */
  void recordLoss(long nowMillis) {
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

  /** Pauses the upstream, with exponential backoff over consecutive failures. */
  void pause(long nowMillis) {
    pausedUntilMillis =
        nowMillis + (INITIAL_PAUSE_MILLIS << Math.min(consecutiveFailures, MAX_PAUSE_DOUBLINGS));
    consecutiveFailures++;
  }

  void recordSuccess() {
    consecutiveFailures = 0;
  }

  /**
   * Takes a token to send a request without a dispatcher; returns whether sending is allowed.
   *
   * <p>A warm upstream needs no token.
   *
   * @param routers routers that share the part of the initial rate left by dispatchers
   */
  boolean tryTakeColdStartToken(long nowMillis, ColdStart coldStart, int routers) {
    if (temperature.warm()) {
      return true;
    }
    double ratePerSecond =
        coldStart.initialRatePerSecond() * Dispatcher.RESERVED_RATE_FRACTION / routers;
    long refilledAtMillis = tokensRefilledAtMillis < 0 ? nowMillis : tokensRefilledAtMillis;
    coldStartTokens =
        Math.min(
            1,
            coldStartTokens + (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND * ratePerSecond);
    tokensRefilledAtMillis = nowMillis;
    if (coldStartTokens < 1) {
      return false;
    }
    coldStartTokens -= 1;
    return true;
  }
}
