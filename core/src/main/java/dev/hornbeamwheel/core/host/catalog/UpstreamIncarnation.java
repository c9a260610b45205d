package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * One start of an upstream; a later start under the same id has none of the earlier one's keys.
 *
 * @param id the upstream
 * @param startedUnixMillis start time, in milliseconds since the Unix epoch; zero if unknown
 */
public record UpstreamIncarnation(UpstreamId id, long startedUnixMillis) {
  /** Stands for no upstream. */
  public static final UpstreamIncarnation NONE = ofUnknownStart(UpstreamId.of("-"));

  /** Returns an upstream of which the start is not known. */
  public static UpstreamIncarnation ofUnknownStart(UpstreamId id) {
    return new UpstreamIncarnation(id, 0);
  }
}
