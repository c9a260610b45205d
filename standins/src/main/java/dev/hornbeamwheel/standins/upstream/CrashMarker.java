package dev.hornbeamwheel.standins.upstream;

/** Tells requests that crash whoever runs them. */
final class CrashMarker {
  private volatile String marker = "";
  private volatile long restartAfterMillis;

  void set(String newMarker, long newRestartAfterMillis) {
    restartAfterMillis = newRestartAfterMillis;
    marker = newMarker;
  }

  boolean matches(String path) {
    return !marker.isEmpty() && path.contains(marker);
  }

  long restartAfterMillis() {
    return restartAfterMillis;
  }
}
