package dev.hornbeamwheel.core.routing;

/** Deliberate faults by which tests show that their oracles catch a broken reducer. */
enum RoutingFaults {
  NONE,
  /** Retries a non-idempotent request after its connection was lost. */
  RETRY_AFTER_BYTES_SENT,
  /** Runs a request before a majority of the voters has recorded its claim. */
  RUN_BEFORE_MAJORITY,
  /** Tells callers that a request did not run although it may have. */
  CLAIM_NOT_RUN,
  /** Passes on answers that break off as if they were whole. */
  PASS_SHORT_ANSWERS,
  /** Sends new work to drained upstreams. */
  IGNORE_DRAIN,
  /** Never refuses a fingerprint. */
  NO_QUARANTINE,
  /** Ends running requests when a stop begins. */
  CUT_AT_STOP
}
