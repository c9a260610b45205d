package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.request.ShutdownSchedule;

/** How far the stop of a host has come, for its log. */
enum StopStep {
  /** Callers may use all connections. */
  SERVING,
  /** Connections of callers are closed once they are idle. */
  DRAINING,
  /** No request is sent to an upstream any more. */
  ANSWERING,
  /** The last requests are broken off. */
  EXITING;

  static StopStep at(long nowMillis, ShutdownSchedule schedule) {
    if (nowMillis >= schedule.exitMillis()) {
      return EXITING;
    }
    if (nowMillis >= schedule.lastSendMillis()) {
      return ANSWERING;
    }
    return nowMillis >= schedule.drainStartMillis() ? DRAINING : SERVING;
  }
}
