package dev.hornbeamwheel.core.host.request;

/** Decides whether the coordinator can be asked for slots. */
final class CoordinatorContact {
  /** Time without a heartbeat after which the coordinator is not used, in milliseconds. */
  static final long TIMEOUT_MILLIS = 450;

  private boolean connected;
  private long lastHeartbeatMillis = Long.MIN_VALUE / 2;

  void connected(long nowMillis) {
    connected = true;
    lastHeartbeatMillis = nowMillis;
  }

  void lost() {
    connected = false;
  }

  void heartbeatReceived(long nowMillis) {
    lastHeartbeatMillis = nowMillis;
  }

  boolean usable(long nowMillis) {
    return connected && nowMillis - lastHeartbeatMillis < TIMEOUT_MILLIS;
  }
}
