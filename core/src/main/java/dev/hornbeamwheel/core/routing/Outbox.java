package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.Decision;
import java.util.ArrayList;
import java.util.List;

/** Collects the effects of one event. */
final class Outbox {
  private List<RoutingEffect> effects = new ArrayList<>();

  void add(RoutingEffect effect) {
    effects.add(effect);
  }

  void log(RequestState request, String kind, String reason, String upstream) {
    add(
        new RoutingEffect.LogDecision(
            new Decision(
                kind,
                reason,
                request.service.id().value(),
                request.shard,
                request.epoch,
                upstream,
                request.arrival.contract().value(),
                request.id().value())));
  }

  List<RoutingEffect> drain() {
    List<RoutingEffect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
