package dev.hornbeamwheel.core.ownership;

/** A protocol step that a test can skip to show that its invariant checks detect the omission. */
enum SkippedStep {
  /** No step is skipped. */
  NONE,
  /** A lease is considered expired as soon as its upstream stops replying. */
  NO_LEASE_WAIT,
  /** A row is considered committed as soon as its write is sent. */
  ACT_BEFORE_WRITE,
  /** A controller leads a new term number without sealing the earlier ones. */
  NO_SEAL,
  /** The leader acts on a row before a majority of the voters has stored it. */
  NO_REPLICATION,
  /** A slice is considered released as soon as the release order is sent. */
  NO_RELEASE_ACK,
  /** A drained upstream remains eligible. */
  IGNORE_DRAIN,
  /** A failed upstream remains eligible. */
  IGNORE_FAILURE
}
