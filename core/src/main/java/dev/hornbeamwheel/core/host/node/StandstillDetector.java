package dev.hornbeamwheel.core.host.node;

/** Detects that this process stood still, for instance because it was suspended. */
final class StandstillDetector {
  /** Time without any event, not even a tick, that shows a standstill, in milliseconds. */
  static final long MIN_MILLIS = 400;

  /** Time of the last event; the greatest value before the first one. */
  private long lastEventMillis = Long.MAX_VALUE;

  /** Records an event; returns whether this process stood still before it. */
  boolean resumedAt(long nowMillis) {
    boolean stoodStill = nowMillis - lastEventMillis > MIN_MILLIS;
    lastEventMillis = nowMillis;
    return stoodStill;
  }
}
