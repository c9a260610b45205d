package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/**
 * Identity and settings of the process that a routing reducer runs in.
 *
 * @param self member id of this router
 * @param incarnation incarnation of this process
 * @param dataCentre data centre of this router
 * @param seed seed of the random number generator
 */
public record RoutingSettings(
    MemberId self, Incarnation incarnation, DataCentreId dataCentre, long seed) {}
