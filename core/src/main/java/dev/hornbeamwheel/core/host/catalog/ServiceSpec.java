package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.ServiceId;

/**
 * The declaration of a service.
 *
 * @param id id of the service
 * @param keyed whether each key is owned by one upstream
 * @param healthPath path of the health check
 * @param connectionLimit maximum number of connections that an upstream accepts in total
 * @param coldRequestsPerSecond requests per second that a cold upstream can serve; zero if
 *     unlimited
 */
public record ServiceSpec(
    ServiceId id,
    boolean keyed,
    String healthPath,
    int connectionLimit,
    double coldRequestsPerSecond) {}
