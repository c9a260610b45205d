package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.dispatch.WarmUpState;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** This router's views of the upstreams that it has used or received reports about. */
final class UpstreamViews {
  private final Map<UpstreamId, UpstreamView> views = new HashMap<>();

  UpstreamView of(UpstreamId upstream) {
    return views.computeIfAbsent(upstream, UpstreamView::new);
  }

  void merge(long nowMillis, List<WarmUpState> states) {
    states.forEach(state -> of(state.upstream()).merge(nowMillis, state));
  }

  /** Returns the warm-up states of the given upstreams whose views match the filter. */
  List<WarmUpState> warmUpStates(List<Upstream> upstreams, Predicate<UpstreamView> filter) {
    return upstreams.stream()
        .map(upstream -> of(upstream.id()))
        .filter(filter)
        .map(UpstreamView::warmUpState)
        .toList();
  }

  /** Returns whether any of the given upstreams is not known to be warm. */
  boolean anyCold(List<Upstream> upstreams) {
    for (Upstream upstream : upstreams) {
      if (!of(upstream.id()).warmUpState().warm()) {
        return true;
      }
    }
    return false;
  }
}
