package dev.hornbeamwheel.core.routing;

/** Faults that tests inject to verify that the test oracles detect a broken reducer. */
enum RoutingFaults {
  NONE,
  /** Retries a non-idempotent request after its connection was lost. */
  RETRY_AFTER_BYTES_SENT,
  /** Runs a request before a majority of voters has recorded its claim. */
  RUN_BEFORE_MAJORITY,
  /** Reports NOT_RUN for a request that may have run. */
  CLAIM_NOT_RUN,
  /** Reports a truncated response as complete. */
  PASS_SHORT_ANSWERS,
  /** Sends new work to drained upstreams. */
  IGNORE_DRAIN,
  /** Never quarantines a fingerprint. */
  NO_QUARANTINE,
  /** Ends running requests when a graceful shutdown begins. */
  CUT_AT_STOP
}
