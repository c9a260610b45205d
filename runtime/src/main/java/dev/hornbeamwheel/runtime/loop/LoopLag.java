package dev.hornbeamwheel.runtime.loop;

/** How late the ticks of a loop are; written by one thread, read by any. */
final class LoopLag {
  private volatile long lastTickMillis;
  private volatile long lastMillis;
  private volatile long lateTicks;

  private LoopLag(long startMillis) {
    this.lastTickMillis = startMillis;
  }

  static LoopLag startingAt(long startMillis) {
    return new LoopLag(startMillis);
  }

  @SuppressWarnings("NonAtomicVolatileUpdate")
  void ticked(long nowMillis, long intervalMillis) {
    long late = Math.max(0, nowMillis - lastTickMillis - intervalMillis);
    lastTickMillis = nowMillis;
    lastMillis = late;
    if (late > intervalMillis) {
      lateTicks++;
    }
  }

  long lastTickMillis() {
    return lastTickMillis;
  }

  long lastMillis() {
    return lastMillis;
  }

  long lateTicks() {
    return lateTicks;
  }
}
