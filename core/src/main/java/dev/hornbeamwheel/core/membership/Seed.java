package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.MemberId;

/**
 * A member that the platform's host list names; it may be gone already.
 *
 * @param id the member
 * @param dataCentre its data centre
 * @param address IP number and port for peers
 */
public record Seed(MemberId id, DataCentreId dataCentre, String address) {}
