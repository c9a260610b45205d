package dev.hornbeamwheel.host;

/** Whether the event loop was lately behind, so that what it reads may be old. */
final class LoopDelay {
  /** A tick that is late by so much shows that the loop is behind, in milliseconds. */
  static final long LATE_TICK_MILLIS = 100;

  /** Without a tick for so long the loop is behind, in milliseconds. */
  static final long STALL_MILLIS = 300;

  /** The loop counts as behind for so long after such a tick, in milliseconds. */
  static final long RECOVERY_MILLIS = 2_000;

  private long lastTickMillis;
  private long laggingUntilMillis;
  private long maxDelayMillis;

  private LoopDelay(long nowMillis) {
    this.lastTickMillis = nowMillis;
    this.laggingUntilMillis = nowMillis + RECOVERY_MILLIS;
  }

  /** Returns the delay of a loop that begins now, and is behind at first. */
  static LoopDelay startingAt(long nowMillis) {
    return new LoopDelay(nowMillis);
  }

  void recordTick(long nowMillis, long delayMillis) {
    if (nowMillis - lastTickMillis > delayMillis + LATE_TICK_MILLIS) {
      laggingUntilMillis = nowMillis + RECOVERY_MILLIS;
    }
    maxDelayMillis = Math.max(maxDelayMillis, nowMillis - lastTickMillis - delayMillis);
    lastTickMillis = nowMillis;
  }

  /** Returns how late the latest tick since the last call was at worst, in milliseconds. */
  long takeMaxDelayMillis() {
    long worst = maxDelayMillis;
    maxDelayMillis = 0;
    return worst;
  }

  boolean lagging(long nowMillis) {
    return nowMillis < laggingUntilMillis || nowMillis - lastTickMillis > STALL_MILLIS;
  }
}
