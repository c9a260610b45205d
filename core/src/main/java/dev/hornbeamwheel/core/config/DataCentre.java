package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RegionId;

/** A declared data centre and the region that it lies in. */
public record DataCentre(DataCentreId id, RegionId region) {}
