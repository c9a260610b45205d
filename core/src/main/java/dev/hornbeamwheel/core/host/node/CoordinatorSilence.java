package dev.hornbeamwheel.core.host.node;

/** Judges by the messages of the coordinator whether another one is needed. */
final class CoordinatorSilence {
  /** Silence of the coordinator after which a host claims the lease, in milliseconds. */
  static final long TIMEOUT_MILLIS = 800;

  /**
   * Extra time for a coordinator whose heartbeats report that it lost the lease, in milliseconds.
   */
  static final long LEASE_LOSS_GRACE_MILLIS = 200;

  private long lastMessageMillis;
  private long lastLeaseHeldMillis;

  /** Starts to wait for the messages of a coordinator that has become known or was reached. */
  void restarted(long nowMillis) {
    lastMessageMillis = nowMillis;
    lastLeaseHeldMillis = nowMillis;
  }

  void messageReceived(long nowMillis) {
    lastMessageMillis = nowMillis;
  }

  void leaseReported(long nowMillis) {
    lastLeaseHeldMillis = nowMillis;
  }

  /** Returns the time of the last report that the coordinator holds the lease. */
  long lastLeaseHeldMillis() {
    return lastLeaseHeldMillis;
  }

  /** Returns whether the coordinator is silent, or has reported no lease, for too long. */
  boolean tooLong(long nowMillis) {
    return nowMillis - lastMessageMillis > TIMEOUT_MILLIS
        || nowMillis - lastLeaseHeldMillis > TIMEOUT_MILLIS + LEASE_LOSS_GRACE_MILLIS;
  }
}
