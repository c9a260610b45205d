package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * A declared upstream.
 *
 * @param id the upstream
 * @param service the service that it belongs to
 * @param dataCentre the data centre that it stands in
 * @param address IP number and port, for instance {@code 127.0.0.1:9000}
 * @param slots requests that it runs at the same time
 * @param connections connections that it accepts
 */
public record Upstream(
    UpstreamId id,
    ServiceId service,
    DataCentreId dataCentre,
    String address,
    int slots,
    int connections) {}
