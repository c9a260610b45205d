package dev.hornbeamwheel.core.membership;

/** What a member does. */
public enum Role {
  /** Serves callers. */
  ROUTER,
  /** Leads cells and arbitrates contract limits. */
  CONTROLLER
}
