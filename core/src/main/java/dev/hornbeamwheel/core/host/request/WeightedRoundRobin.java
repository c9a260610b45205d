package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.WeightedService;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Shares the requests of a route among its services in proportion to their weights.
 *
 * <p>Each service gains its weight with every request, and the one that is most behind is chosen.
 */
final class WeightedRoundRobin {
  private record RouteService(String route, ServiceId service) {}

  private final Map<RouteService, Double> credits = new HashMap<>();
  private final Random random;

  WeightedRoundRobin(Random random) {
    this.random = random;
  }

  ServiceId next(Route route) {
    if (route.services().size() == 1) {
      return route.services().get(0).service();
    }
    double total = route.services().stream().mapToDouble(WeightedService::weight).sum();
    // Hosts begin at different places, so that their few requests add up to the weights.
    route
        .services()
        .forEach(
            part ->
                credits.merge(
                    new RouteService(route.name(), part.service()),
                    part.weight() / total + random.nextDouble() * part.weight() / total,
                    (known, first) -> known + part.weight() / total));
    ServiceId chosen =
        route.services().stream()
            .map(WeightedService::service)
            .max(
                Comparator.comparingDouble(
                    service -> credits.get(new RouteService(route.name(), service))))
            .orElseThrow();
    credits.merge(new RouteService(route.name(), chosen), -1.0, Double::sum);
    return chosen;
  }
}
