package dev.hornbeamwheel.core.claims;

/** The known state of the request that claimed an idempotency key. */
public enum ClaimState {
  /** The request may be about to run, be running or have run. */
  RUNNING,
  /** The request was answered with a complete response. */
  COMPLETED,
  /** The request may have run; whether it did cannot be determined. */
  UNKNOWN,
  /** The request did not run and never will. */
  WITHDRAWN
}
