package dev.hornbeamwheel.core.ownership;

/** Steps of the protocol that a test may leave out to show that its oracle notices. */
enum SkippedStep {
  /** Nothing is left out. */
  NONE,
  /** A lease counts as lapsed as soon as its upstream is silent. */
  NO_LEASE_WAIT,
  /** A write counts as standing when it is sent. */
  ACT_BEFORE_WRITE,
  /** A new term number is led without sealing the earlier ones. */
  NO_SEAL,
  /** A row is acted on before a majority of the voters holds it. */
  NO_REPLICATION,
  /** A released slice counts as given up when the order is sent. */
  NO_RELEASE_ACK,
  /** A drained upstream stays eligible. */
  IGNORE_DRAIN,
  /** A failed upstream stays eligible. */
  IGNORE_FAILURE
}
