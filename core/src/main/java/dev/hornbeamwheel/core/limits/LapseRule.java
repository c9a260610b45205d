package dev.hornbeamwheel.core.limits;

/** Decides whether a lease has lapsed. */
@FunctionalInterface
interface LapseRule {
  /** A lease lapses at its expiry, on the clock of its holder. */
  LapseRule AT_EXPIRY =
      (expiresMillis, nowMillis) -> expiresMillis != Long.MIN_VALUE && nowMillis >= expiresMillis;

  /** Returns whether the lease has lapsed; {@link Long#MIN_VALUE} stands for no lease. */
  boolean lapsed(long expiresMillis, long nowMillis);
}
