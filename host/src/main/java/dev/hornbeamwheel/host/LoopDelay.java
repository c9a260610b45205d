package dev.hornbeamwheel.host;

/** Whether the event loop was lately behind, so that what it reads may be old. */
final class LoopDelay {
  /** A tick that is late by so much shows that the loop is behind, in milliseconds. */
  static final long BEHIND_MILLIS = 100;

  /** Without a tick for so long the loop is behind, in milliseconds. */
  static final long STALLED_MILLIS = 300;

  /** The loop counts as behind for so long after such a tick, in milliseconds. */
  static final long RECOVERY_MILLIS = 2_000;

  private long lastTickMillis;
  private long behindUntilMillis;
  private long worstMillis;

  private LoopDelay(long nowMillis) {
    this.lastTickMillis = nowMillis;
    this.behindUntilMillis = nowMillis + RECOVERY_MILLIS;
  }

  /** Returns the delay of a loop that begins now, and is behind at first. */
  static LoopDelay startingAt(long nowMillis) {
    return new LoopDelay(nowMillis);
  }

  void ticked(long nowMillis, long delayMillis) {
    if (nowMillis - lastTickMillis > delayMillis + BEHIND_MILLIS) {
      behindUntilMillis = nowMillis + RECOVERY_MILLIS;
    }
    worstMillis = Math.max(worstMillis, nowMillis - lastTickMillis - delayMillis);
    lastTickMillis = nowMillis;
  }

  /** Returns how late the latest tick since the last call was at worst, in milliseconds. */
  long takeWorstMillis() {
    long worst = worstMillis;
    worstMillis = 0;
    return worst;
  }

  boolean behind(long nowMillis) {
    return nowMillis < behindUntilMillis || nowMillis - lastTickMillis > STALLED_MILLIS;
  }
}
