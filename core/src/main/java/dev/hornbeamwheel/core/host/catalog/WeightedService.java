package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.ServiceId;

/**
 * A service that takes part of a route's requests.
 *
 * @param service the service
 * @param weight its part in proportion to the other weights of the route, positive
 */
public record WeightedService(ServiceId service, double weight) {}
