package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Upstream;
import java.util.List;
import java.util.Random;

/**
 * Selects an upstream without a dispatcher.
 *
 * <p>Of two random candidates it takes the one with fewer requests in flight from this router.
 */
final class FallbackSelector {
  private final UpstreamViews views;
  private final Topology topology;
  private final Random random;

  FallbackSelector(UpstreamViews views, Topology topology, Random random) {
    this.views = views;
    this.topology = topology;
    this.random = random;
  }

  /** Returns an upstream that may receive the request now; null if there is none. */
  Upstream choose(long nowMillis, RequestState request, List<Upstream> pool) {
    Upstream chosen = request.owner == null ? powerOfTwoChoice(nowMillis, request, pool) : null;
    if (request.owner != null && usable(nowMillis, topology.upstream(request.owner))) {
      chosen = topology.upstream(request.owner);
    }
    if (chosen == null) {
      return null;
    }
    ColdStart coldStart = request.service.coldStart();
    boolean admitted =
        views
            .of(chosen.id())
            .tryTakeColdStartToken(nowMillis, coldStart, topology.recentFleetSize());
    return admitted ? chosen : null;
  }

  private Upstream powerOfTwoChoice(long nowMillis, RequestState request, List<Upstream> pool) {
    List<Upstream> candidates =
        pool.stream()
            .filter(upstream -> !request.excludedUpstreams.contains(upstream.id()))
            .filter(upstream -> usable(nowMillis, upstream))
            .toList();
    if (candidates.isEmpty()) {
      return null;
    }
    Upstream first = candidates.get(random.nextInt(candidates.size()));
    Upstream second = candidates.get(random.nextInt(candidates.size()));
    return views.of(first.id()).inFlight <= views.of(second.id()).inFlight ? first : second;
  }

  private boolean usable(long nowMillis, Upstream upstream) {
    if (upstream == null) {
      return false;
    }
    UpstreamView view = views.of(upstream.id());
    return view.inFlight < upstream.slots() && !view.paused(nowMillis);
  }
}
