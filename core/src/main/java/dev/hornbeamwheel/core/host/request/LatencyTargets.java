package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Route;
import java.util.HashMap;
import java.util.Map;

/**
 * Computes the times by which callers want their responses.
 *
 * <p>A timeout below the longest one seen on the route is taken as a retry by a caller that has
 * already waited for the difference.
 */
final class LatencyTargets {
  private final Map<String, Long> longestTimeoutMillis = new HashMap<>();

  /** Returns the time by which the caller of a request that arrives now wants the response. */
  long targetMillis(long nowMillis, Route route, RequestHead head) {
    long longest = longestTimeoutMillis.merge(route.name(), head.timeoutMillis(), Math::max);
    long elapsedMillis = longest - head.timeoutMillis();
    return nowMillis + Math.max(0, route.targetLatencyMillis() - elapsedMillis);
  }
}
