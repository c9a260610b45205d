package dev.hornbeamwheel.core.host.catalog;

/** Tells whether a request may run more than once. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** May run any number of times; its response is large. */
  IDEMPOTENT_LARGE,
  /** May run at most once. */
  NON_IDEMPOTENT;

  /** Returns whether a request may be sent again after it may have run. */
  public boolean repeatable() {
    return this != NON_IDEMPOTENT;
  }
}
