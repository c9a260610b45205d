package dev.hornbeamwheel.core.limits;

/** Decides when the share of a silent router may be leased to another one. */
@FunctionalInterface
interface ReuseRule {
  /** Waits until the lease has lapsed on the slowest clock within the drift bound. */
  ReuseRule AFTER_LAPSE = silentMillis -> silentMillis >= LimitsTiming.SURELY_LAPSED_MILLIS;

  /** Returns whether the lease of a router that was silent for so long has lapsed. */
  boolean surelyLapsed(long silentMillis);
}
