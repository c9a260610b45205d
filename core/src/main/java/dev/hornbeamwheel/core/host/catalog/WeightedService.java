package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.ServiceId;

/**
 * A service that gets a share of the requests of a route.
 *
 * @param service the service
 * @param weight share in proportion to the weights of the other services; positive
 */
public record WeightedService(ServiceId service, double weight) {}
