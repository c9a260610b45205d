package dev.hornbeamwheel.host;

/** Tracks the event loop's delay, which tells whether input that it reads may be stale. */
final class LoopDelay {
  /** The loop lags after a tick that is later than this, in milliseconds. */
  static final long LATE_TICK_MILLIS = 100;

  /** The loop lags if its last tick is longer ago than this, in milliseconds. */
  static final long STALL_MILLIS = 300;

  /** Time for which the loop counts as lagging after its start or a late tick, in milliseconds. */
  static final long RECOVERY_MILLIS = 2_000;

  private long lastTickMillis;
  private long laggingUntilMillis;
  private long maxDelayMillis;

  private LoopDelay(long nowMillis) {
    this.lastTickMillis = nowMillis;
    this.laggingUntilMillis = nowMillis + RECOVERY_MILLIS;
  }

  /** Returns the tracker of a loop that starts now; the loop counts as lagging at first. */
  static LoopDelay startingAt(long nowMillis) {
    return new LoopDelay(nowMillis);
  }

  /** Records a tick; {@code intervalMillis} is the scheduled time since the previous one. */
  void recordTick(long nowMillis, long intervalMillis) {
    if (nowMillis - lastTickMillis > intervalMillis + LATE_TICK_MILLIS) {
      laggingUntilMillis = nowMillis + RECOVERY_MILLIS;
    }
    maxDelayMillis = Math.max(maxDelayMillis, nowMillis - lastTickMillis - intervalMillis);
    lastTickMillis = nowMillis;
  }

  /** Returns and resets the longest delay of a tick since the last call, in milliseconds. */
  long takeMaxDelayMillis() {
    long maxDelay = maxDelayMillis;
    maxDelayMillis = 0;
    return maxDelay;
  }

  boolean lagging(long nowMillis) {
    return nowMillis < laggingUntilMillis || nowMillis - lastTickMillis > STALL_MILLIS;
  }
}
