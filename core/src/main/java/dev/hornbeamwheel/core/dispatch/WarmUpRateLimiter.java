package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.model.UpstreamId;

/** Limits the requests to one upstream while it is cold, and raises the limit as it completes. */
final class WarmUpRateLimiter {
  /** Expected intervals between completions after which a gap counts no further. */
  private static final double MAX_INTERVALS_CREDITED = 10;

  /** Time for which a change of temperature is told to every router that reports. */
  private static final long BROADCAST_MILLIS = 2_000;

  private static final double MILLIS_PER_SECOND = 1000.0;

  private final UpstreamId upstream;
  private ColdStart coldStart;
  private long incarnation;
  private long coldStarts;
  private double ratePerSecond;
  private boolean warm;
  private double tokens = 1;
  private long refilledAtMillis;
  private long lastCompletionMillis = -1;
  private long changedAtMillis;

  WarmUpRateLimiter(UpstreamId upstream, ColdStart coldStart) {
    this.upstream = upstream;
    this.coldStart = coldStart;
    this.ratePerSecond = coldStart.initialRatePerSecond();
  }

  void configure(ColdStart changed) {
    coldStart = changed;
  }

  boolean warm() {
    return warm;
  }

  /** Returns whether one more request may be sent now. */
  boolean canSend(long nowMillis) {
    refill(nowMillis);
    return warm || tokens >= 1;
  }

  /** Counts a request that is sent. */
  void recordSend() {
    if (!warm) {
      tokens -= 1;
    }
  }

  /** Raises the limit after a completion. */
  void recordCompletion(long nowMillis, long seenIncarnation) {
    observeIncarnation(nowMillis, seenIncarnation);
    if (warm) {
      return;
    }
    if (lastCompletionMillis >= 0) {
      double most = MAX_INTERVALS_CREDITED * MILLIS_PER_SECOND / ratePerSecond;
      double credited = Math.min((double) (nowMillis - lastCompletionMillis), most);
      double span = coldStart.fullRatePerSecond() - coldStart.initialRatePerSecond();
      ratePerSecond += span * credited / Math.max(1, coldStart.warmUpMillis());
    }
    lastCompletionMillis = nowMillis;
    warm = ratePerSecond >= coldStart.fullRatePerSecond();
    changedAtMillis = nowMillis;
  }

  /** Takes note of the incarnation that an upstream answered with; a new one is cold. */
  void observeIncarnation(long nowMillis, long seenIncarnation) {
    if (seenIncarnation == 0 || seenIncarnation == incarnation) {
      return;
    }
    boolean restarted = incarnation != 0;
    incarnation = seenIncarnation;
    if (restarted) {
      markCold(nowMillis);
    }
  }

  /** Starts over from the initial rate. */
  void markCold(long nowMillis) {
    coldStarts++;
    resetRate(nowMillis);
  }

  /** Takes over what another member knows, if it is later. */
  void merge(WarmUpState other, long nowMillis) {
    if (other.coldStarts() > coldStarts) {
      coldStarts = other.coldStarts();
      incarnation = other.incarnation() == 0 ? incarnation : other.incarnation();
      resetRate(nowMillis);
    }
    if (other.coldStarts() == coldStarts) {
      ratePerSecond = Math.max(ratePerSecond, other.ratePerSecond());
      warm |= other.warm();
      incarnation = incarnation == 0 ? other.incarnation() : incarnation;
    }
  }

  /** Returns whether routers may not know the current temperature yet. */
  boolean needsBroadcast(long nowMillis) {
    return !warm || nowMillis - changedAtMillis < BROADCAST_MILLIS;
  }

  WarmUpState warmUpState() {
    return new WarmUpState(upstream, incarnation, coldStarts, ratePerSecond, warm);
  }

  private void resetRate(long nowMillis) {
    refill(nowMillis);
    ratePerSecond = coldStart.initialRatePerSecond();
    warm = false;
    tokens = 0;
    lastCompletionMillis = -1;
    changedAtMillis = nowMillis;
  }

  private void refill(long nowMillis) {
    double elapsedSeconds = (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND;
    tokens =
        Math.min(
            1, tokens + elapsedSeconds * ratePerSecond * (1 - Dispatcher.RESERVED_RATE_FRACTION));
    refilledAtMillis = nowMillis;
  }
}
