package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.MemberId;
import java.util.HashMap;
import java.util.Map;

/** Tells whether a majority of the routers of a data centre back one dispatcher. */
final class DispatcherQuorum {
  /** Time from the acknowledgement that a router echoes for which it backs the dispatcher. */
  static final long SUPPORT_VALID_MILLIS = 400;

  private final Map<MemberId, Long> latestEchoMillis = new HashMap<>();
  private int routerCount = 1;

  void routerCount(int routers) {
    routerCount = routers;
  }

  void recordHeartbeat(MemberId router, long echoMillis, boolean backed) {
    if (backed && echoMillis > 0) {
      latestEchoMillis.merge(router, echoMillis, Math::max);
    } else if (!backed) {
      latestEchoMillis.remove(router);
    }
  }

  boolean hasMajority(long nowMillis) {
    int valid = 0;
    for (long echo : latestEchoMillis.values()) {
      if (nowMillis - echo < SUPPORT_VALID_MILLIS) {
        valid++;
      }
    }
    return valid > routerCount / 2;
  }
}
