package dev.hornbeamwheel.core.model;

import java.util.Optional;

/**
 * The requests that are expected to take the same work and share the same limits.
 *
 * @param route route of the requests
 * @param organisation organisation that sends them, or empty if the configuration has none
 */
public record TrafficClass(RouteId route, Optional<OrganisationId> organisation) {
  /** Returns the class of the requests of a route that belong to no organisation. */
  public static TrafficClass of(RouteId route) {
    return new TrafficClass(route, Optional.empty());
  }
}
