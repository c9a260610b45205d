package dev.hornbeamwheel.core.claims;

/** What is known of the request that claimed an idempotency key. */
public enum ClaimState {
  /** The request may run, be running or have run. */
  RUNNING,
  /** The request was answered in full. */
  COMPLETED,
  /** The request may have run, and nobody will learn whether. */
  UNKNOWN,
  /** The request certainly did not run and never will. */
  WITHDRAWN
}
