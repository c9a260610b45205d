package dev.hornbeamwheel.core.recovery;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * One observation about a request fingerprint, spread to the whole fleet.
 *
 * <p>Evidence merges as a set, so the order in which it arrives does not matter.
 *
 * @param fingerprint hash of the request
 * @param upstream the upstream that ran the request
 * @param kind what was observed
 * @param ageMillis time since the observation; grows with each relay
 */
public record Evidence(long fingerprint, UpstreamId upstream, Kind kind, long ageMillis) {
  /** What was observed of a request on an upstream. */
  public enum Kind {
    /** The upstream was lost while it ran the request. */
    CRASHED,
    /** The upstream ran the request to its end. */
    COMPLETED
  }
}
