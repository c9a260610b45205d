package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/**
 * What a routing reducer knows of its own process.
 *
 * @param self this router
 * @param incarnation incarnation of this process
 * @param dataCentre the data centre that it stands in
 * @param seed seed of its random numbers
 */
public record RoutingSettings(
    MemberId self, Incarnation incarnation, DataCentreId dataCentre, long seed) {}
