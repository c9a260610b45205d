package dev.hornbeamwheel.bench.limits;

/** A way to hold one contract over a fleet. */
interface Limiter {
  void advance(long toMillis);

  boolean admit(int router);

  void finished(int router);

  void lose(int router);

  void cutOff(int centre);

  long messages();

  long writes();
}
