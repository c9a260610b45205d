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
  private WarmUpState warmUpState;
  private long changedAtMillis;
  private long pausedUntilMillis;
  private int consecutiveFailures;
  private double coldStartTokens;
  private long tokensRefilledAtMillis = -1;

  UpstreamView(UpstreamId upstream) {
    warmUpState = new WarmUpState(upstream, 0, 0, 0, false);
  }

  WarmUpState warmUpState() {
    return warmUpState;
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

  /** Adopts the warm-up state that a dispatcher reports, if it is newer. */
  void merge(long nowMillis, WarmUpState other) {
    boolean newer = other.coldStarts() > warmUpState.coldStarts();
    boolean same = other.coldStarts() == warmUpState.coldStarts();
    boolean warmer = same && other.ratePerSecond() > warmUpState.ratePerSecond();
    if (newer || warmer || (same && other.warm() && !warmUpState.warm())) {
      warmUpState = other;
      changedAtMillis = nowMillis;
    }
  }

  /** Records the observed incarnation; a restarted upstream is cold. */
  void recordIncarnation(long nowMillis, long incarnation) {
    if (incarnation == 0 || incarnation == warmUpState.incarnation()) {
      return;
    }
    boolean restarted = warmUpState.incarnation() != 0;
    warmUpState =
        new WarmUpState(
            warmUpState.upstream(),
            incarnation,
            warmUpState.coldStarts() + (restarted ? 1 : 0),
            restarted ? 0 : warmUpState.ratePerSecond(),
            !restarted && warmUpState.warm());
    changedAtMillis = nowMillis;
  }

  /** Marks the upstream as cold and pauses it after its connection was lost. */
  void recordLoss(long nowMillis) {
    warmUpState =
        new WarmUpState(
            warmUpState.upstream(),
            warmUpState.incarnation(),
            warmUpState.coldStarts() + 1,
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
    if (warmUpState.warm()) {
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
