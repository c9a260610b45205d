package dev.hornbeamwheel.core.host.fairness;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.Optional;

/**
 * The requests that use the same share of a service.
 *
 * @param dataCentre data centre of the hosts that send them
 * @param organisation organisation that sends them, or empty if the configuration has none
 */
public record ShareGroup(DataCentreId dataCentre, Optional<OrganisationId> organisation) {}
