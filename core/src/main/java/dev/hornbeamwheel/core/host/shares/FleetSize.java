package dev.hornbeamwheel.core.host.shares;

/**
 * The number of hosts that may send requests without the coordinator: those that are connected, and
 * those that were lately and may be cut off. A new coordinator learns it from the hosts.
 */
final class FleetSize {
  /** Time after which hosts that are not connected are forgotten, in milliseconds. */
  static final long FORGET_MILLIS = 600_000;

  private boolean reported;
  private int size;
  private long reachedMillis;

  /** Takes over the number that a host knows from an earlier coordinator; zero if it does not. */
  void report(long nowMillis, int reportedSize) {
    reported |= reportedSize > 0;
    if (reportedSize > size) {
      size = reportedSize;
      reachedMillis = nowMillis;
    }
  }

  /** Returns whether a host has reported the number. */
  boolean reported() {
    return reported;
  }

  /** Returns the number of hosts, at least those that are connected. */
  int update(long nowMillis, int connectedHosts) {
    if (connectedHosts >= size || nowMillis - reachedMillis >= FORGET_MILLIS) {
      size = connectedHosts;
      reachedMillis = nowMillis;
    }
    return size;
  }
}
