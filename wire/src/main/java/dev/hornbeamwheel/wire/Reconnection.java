package dev.hornbeamwheel.wire;

/** Delays between attempts to connect: doubled after each failure up to a cap. */
final class Reconnection {
  static final long FIRST_DELAY_MILLIS = 50;
  static final long MAX_DELAY_MILLIS = 2_000;

  private long nextDelayMillis = FIRST_DELAY_MILLIS;

  /** Returns the delay before the next attempt and doubles the one after it. */
  long failed() {
    long delay = nextDelayMillis;
    nextDelayMillis = Math.min(MAX_DELAY_MILLIS, 2 * nextDelayMillis);
    return delay;
  }

  /** Starts over after a connection stood. */
  void succeeded() {
    nextDelayMillis = FIRST_DELAY_MILLIS;
  }
}
