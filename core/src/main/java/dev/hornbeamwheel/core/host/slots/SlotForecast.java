package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Map;
import java.util.Optional;

/**
 * What the coordinator would decide now for a request that asked for a slot.
 *
 * @param waiting number of requests that wait for the same upstreams
 * @param requestsPerSecond throughput of these upstreams, in requests per second
 * @param selected upstream at which the request would start at once, or empty if it would wait
 * @param obstacles why the other upstreams cannot start it now
 * @param hotKey whether its key has more requests than the owner can serve, so that it is refused
 *     unless it can be answered in time
 */
public record SlotForecast(
    int waiting,
    double requestsPerSecond,
    Optional<UpstreamId> selected,
    Map<UpstreamId, String> obstacles,
    boolean hotKey) {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Copies the map. */
  public SlotForecast {
    obstacles = Map.copyOf(obstacles);
  }

  /**
   * Returns the estimated time until the request starts if those that wait start before it, in
   * milliseconds; a very large number if nothing can start.
   */
  public long waitMillis() {
    if (selected.isPresent()) {
      return 0;
    }
    return requestsPerSecond > 0
        ? Math.round((waiting + 1) / requestsPerSecond * MILLIS_PER_SECOND)
        : Long.MAX_VALUE;
  }
}
