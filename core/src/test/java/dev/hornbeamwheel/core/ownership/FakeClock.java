package dev.hornbeamwheel.core.ownership;

/** A clock that runs at its own rate from its own start. */
record FakeClock(long startMillis, double rate) {
  long read(long trueMillis) {
    return startMillis + (long) (trueMillis * rate);
  }
}
