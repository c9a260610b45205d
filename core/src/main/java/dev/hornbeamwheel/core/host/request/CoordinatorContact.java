package dev.hornbeamwheel.core.host.request;

/** Records when this host last heard from the coordinator. */
final class CoordinatorContact {
  /** Time without a heartbeat after which the coordinator is not used, in milliseconds. */
  static final long TIMEOUT_MILLIS = 450;

  /**
   * Time without a heartbeat for which a connected coordinator may still decide on requests that
   * this host has no upstream for, in milliseconds. A coordinator that has just started is busy.
   */
  static final long PATIENCE_MILLIS = 1_500;

  private boolean connected;
  private long lastHeartbeatMillis = Long.MIN_VALUE / 2;

  void established(long nowMillis) {
    connected = true;
    lastHeartbeatMillis = nowMillis;
  }

  void lost() {
    connected = false;
  }

  void heartbeatReceived(long nowMillis) {
    lastHeartbeatMillis = nowMillis;
  }

  /** Returns whether the coordinator decides on requests now. */
  boolean usable(long nowMillis) {
    return connected && nowMillis - lastHeartbeatMillis < TIMEOUT_MILLIS;
  }

  /** Returns whether the coordinator may still decide on requests that wait for it. */
  boolean mayAnswer(long nowMillis) {
    return connected && nowMillis - lastHeartbeatMillis < PATIENCE_MILLIS;
  }
}
