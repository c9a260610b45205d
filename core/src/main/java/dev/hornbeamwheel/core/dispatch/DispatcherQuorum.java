package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.MemberId;
import java.util.HashMap;
import java.util.Map;

/** Tracks whether a majority of the routers of a data centre supports one dispatcher. */
final class DispatcherQuorum {
  /** How long a router's support lasts, from the acknowledgement that its heartbeat echoes. */
  static final long SUPPORT_VALID_MILLIS = 400;

  private final Map<MemberId, Long> latestEchoMillis = new HashMap<>();
  private int routerCount = 1;

  void routerCount(int routers) {
    routerCount = routers;
  }

  /**
   * Records a router's heartbeat.
   *
   * @param echoMillis the dispatcher's clock in the echoed acknowledgement; zero if none
   * @param supported whether the router supports no other dispatcher
   */
  void recordHeartbeat(MemberId router, long echoMillis, boolean supported) {
    if (supported && echoMillis > 0) {
      latestEchoMillis.merge(router, echoMillis, Math::max);
    } else if (!supported) {
      latestEchoMillis.remove(router);
    }
  }

  boolean hasMajority(long nowMillis) {
    int supporters = 0;
    for (long echo : latestEchoMillis.values()) {
      if (nowMillis - echo < SUPPORT_VALID_MILLIS) {
        supporters++;
      }
    }
    return supporters > routerCount / 2;
  }
}
