package dev.hornbeamwheel.core.membership;

/** Decides whether a member answers a row about itself that it did not write. */
@FunctionalInterface
interface Refutation {
  /** Refutes each row that others would take for newer or as new. */
  Refutation ALWAYS = (rowVersion, ownVersion) -> rowVersion >= ownVersion;

  /** Returns whether a row is refuted by one of a greater generation. */
  boolean refutes(long rowVersion, long ownVersion);
}
