package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/** A router that is a live member of the fleet. */
public record Peer(MemberId id, Incarnation incarnation, DataCentreId dataCentre) {}
