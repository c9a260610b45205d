package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;

/** The slots of one service in one data centre, which one dispatcher shares out. */
public record SlotPoolId(ServiceId service, DataCentreId dataCentre) {}
