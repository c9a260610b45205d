package dev.hornbeamwheel.core.host.catalog;

/** Whether a request may run more than once. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** May run any number of times; its answer is large. */
  IDEMPOTENT_LARGE,
  /** May run once at most. */
  NON_IDEMPOTENT;

  /** Returns whether a request that may have run may be sent again. */
  public boolean repeatable() {
    return this != NON_IDEMPOTENT;
  }
}
