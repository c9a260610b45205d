package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;

/** Identifies the slots of one service in one data centre, which one dispatcher leases out. */
public record SlotPoolId(ServiceId service, DataCentreId dataCentre) {}
