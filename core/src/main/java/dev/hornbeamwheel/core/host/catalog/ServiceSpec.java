package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.ServiceId;

/**
 * What operators declare of a service.
 *
 * @param id the service
 * @param keyed whether each key has one owner among the upstreams
 * @param healthPath path of the health check
 * @param connectionLimit connections that an upstream accepts from all callers together
 * @param coldRequestsPerSecond requests a second that a cold upstream tolerates; zero if it has no
 *     bound
 */
public record ServiceSpec(
    ServiceId id,
    boolean keyed,
    String healthPath,
    int connectionLimit,
    double coldRequestsPerSecond) {}
