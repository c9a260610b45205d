package dev.hornbeamwheel.core.config;

/** Decides whether a configuration may follow the one in force. */
@FunctionalInterface
interface VersionRule {
  /** Accepts greater versions only. */
  VersionRule FORWARD_ONLY = (inForce, candidate) -> candidate > inForce;

  /** Returns whether {@code candidate} may come into force after {@code inForce}. */
  boolean accepts(long inForce, long candidate);
}
