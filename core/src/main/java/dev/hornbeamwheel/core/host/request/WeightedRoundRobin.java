package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.WeightedService;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Distributes the requests of a route over its services in proportion to their weights.
 *
 * <p>This is a smooth weighted round robin: with every request each service earns its share of the
 * total weight as credit, and the service with the most credit is selected and pays one.
 */
final class WeightedRoundRobin {
  private record RouteService(String route, ServiceId service) {}

  private final Map<RouteService, Double> credits = new HashMap<>();
  private final Random random;

  WeightedRoundRobin(Random random) {
    this.random = random;
  }

  /** Returns the service for the next request of a route. */
  ServiceId next(Route route) {
    if (route.services().size() == 1) {
      return route.services().get(0).service();
    }
    double total = route.services().stream().mapToDouble(WeightedService::weight).sum();
    // Random initial credit keeps the hosts out of step, so that few requests on each of many hosts
    // still add up to the weights.
    route
        .services()
        .forEach(
            weighted ->
                credits.merge(
                    new RouteService(route.name(), weighted.service()),
                    weighted.weight() / total + random.nextDouble() * weighted.weight() / total,
                    (credit, initial) -> credit + weighted.weight() / total));
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
