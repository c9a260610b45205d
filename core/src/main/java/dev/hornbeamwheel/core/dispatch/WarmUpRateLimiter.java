package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.model.UpstreamId;

/** Limits the request rate of one cold upstream and raises the limit with each completion. */
final class WarmUpRateLimiter {
  /** Cap on the credit for a gap between completions, in expected intervals at the rate. */
  private static final double MAX_INTERVALS_CREDITED = 10;

  /** How long a change of the warm-up state is included in heartbeat acknowledgements. */
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

  void configure(ColdStart newColdStart) {
    coldStart = newColdStart;
  }

  boolean warm() {
    return warm;
  }

  /** Returns whether the limit allows one more request now. */
  boolean canSend(long nowMillis) {
    refill(nowMillis);
    return warm || tokens >= 1;
  }

  /** Consumes a token for a request if the upstream is cold. */
  void recordSend() {
    if (!warm) {
      tokens -= 1;
    }
  }

  /** Raises the limit after a completed request, by the time since the previous one. */
  void recordCompletion(long nowMillis, long seenIncarnation) {
    observeIncarnation(nowMillis, seenIncarnation);
    if (warm) {
      return;
    }
    if (lastCompletionMillis >= 0) {
      double maxCreditMillis = MAX_INTERVALS_CREDITED * MILLIS_PER_SECOND / ratePerSecond;
      double creditMillis = Math.min((double) (nowMillis - lastCompletionMillis), maxCreditMillis);
      double rateIncrease = coldStart.fullRatePerSecond() - coldStart.initialRatePerSecond();
      ratePerSecond += rateIncrease * creditMillis / Math.max(1, coldStart.warmUpMillis());
    }
    lastCompletionMillis = nowMillis;
    warm = ratePerSecond >= coldStart.fullRatePerSecond();
    changedAtMillis = nowMillis;
  }

  /** Records the incarnation of the upstream; zero is ignored, and a restarted one is cold. */
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

  /** Counts a cold start and resets the limit to the initial rate. */
  void markCold(long nowMillis) {
    coldStarts++;
    resetRate(nowMillis);
  }

  /** Merges the state known to another member; the newer state wins. */
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

  /** Returns whether some routers may not know the current state yet. */
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
