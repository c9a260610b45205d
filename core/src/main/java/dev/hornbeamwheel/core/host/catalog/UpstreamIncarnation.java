package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * One start of an upstream; a later start under the same id has none of the earlier one's keys.
 *
 * @param id the upstream
 * @param startedUnixMillis start time, in milliseconds since the Unix epoch
 */
public record UpstreamIncarnation(UpstreamId id, long startedUnixMillis) {}
