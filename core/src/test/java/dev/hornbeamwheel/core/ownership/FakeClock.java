package dev.hornbeamwheel.core.ownership;

/** A clock with its own start value and rate, to simulate clock drift. */
record FakeClock(long startMillis, double rate) {
  long read(long trueMillis) {
    return startMillis + (long) (trueMillis * rate);
  }
}
