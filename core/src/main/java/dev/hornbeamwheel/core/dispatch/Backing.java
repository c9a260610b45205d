package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.MemberId;
import java.util.HashMap;
import java.util.Map;

/** Tells whether a majority of the routers of a data centre back one dispatcher. */
final class Backing {
  /** Time from the acknowledgement that a router echoes for which it backs the dispatcher. */
  static final long VALID_MILLIS = 400;

  private final Map<MemberId, Long> echoes = new HashMap<>();
  private int electorate = 1;

  void electorate(int routers) {
    electorate = routers;
  }

  void heard(MemberId router, long echoMillis, boolean backed) {
    if (backed && echoMillis > 0) {
      echoes.merge(router, echoMillis, Math::max);
    } else if (!backed) {
      echoes.remove(router);
    }
  }

  boolean majority(long nowMillis) {
    int valid = 0;
    for (long echo : echoes.values()) {
      if (nowMillis - echo < VALID_MILLIS) {
        valid++;
      }
    }
    return valid > electorate / 2;
  }
}
