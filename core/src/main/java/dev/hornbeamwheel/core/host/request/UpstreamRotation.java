package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToIntFunction;

/**
 * Spreads the requests of this host over the upstreams of a service: among those with the fewest of
 * its running requests, the one to which it sent least recently. Each host starts in a random order
 * of its own, so that hosts do not send to the same upstreams at the same time.
 */
final class UpstreamRotation {
  /** Number of remembered upstreams above which all are forgotten, as some have left. */
  private static final int MAX_UPSTREAMS = 2_000;

  private final Random random;
  private final Map<UpstreamId, Long> lastSends = new HashMap<>();
  private long sends;

  UpstreamRotation(Random random) {
    this.random = random;
  }

  /** Records a request that is sent to an upstream. */
  void recordSend(UpstreamId upstream) {
    if (lastSends.size() > MAX_UPSTREAMS) {
      lastSends.clear();
    }
    lastSends.put(upstream, ++sends);
  }

  /**
   * Returns the upstream for the next request.
   *
   * @param entries candidates; at least one
   * @param running number of requests that this host runs at an upstream
   */
  UpstreamRegistration next(
      List<UpstreamRegistration> entries, ToIntFunction<UpstreamRegistration> running) {
    return entries.stream()
        .min(
            Comparator.comparingInt(running)
                .thenComparingLong(
                    entry ->
                        lastSends.computeIfAbsent(
                            entry.id(), id -> -1L - random.nextInt(Integer.MAX_VALUE))))
        .orElseThrow();
  }
}
