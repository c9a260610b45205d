package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * One start of an upstream; a later start under the same id holds nothing of an earlier one.
 *
 * @param id id of the upstream
 * @param startedUnixMillis time of its start, Unix time in milliseconds
 */
public record UpstreamIncarnation(UpstreamId id, long startedUnixMillis) {}
