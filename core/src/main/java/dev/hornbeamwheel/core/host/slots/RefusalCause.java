package dev.hornbeamwheel.core.host.slots;

/** Why the coordinator refused a slot request. */
public enum RefusalCause {
  /** No upstream is expected to serve the request before its deadline. */
  NO_SLOT("no slot is expected to be free before the deadline"),
  /** The owner of the key is not expected to serve the request before its deadline. */
  OWNER_FULL("the key's owner has no room"),
  /** The key has more requests than its owner can serve. */
  HOT_KEY("the key has more requests than its owner can serve"),
  /** The request can only be answered late, and others that can be answered in time wait. */
  LATE("the latency target has passed and others can still meet theirs");

  private final String reason;

  RefusalCause(String reason) {
    this.reason = reason;
  }

  /** Returns the reason for the log. */
  public String reason() {
    return reason;
  }
}
