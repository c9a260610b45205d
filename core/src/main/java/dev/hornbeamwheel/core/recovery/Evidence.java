package dev.hornbeamwheel.core.recovery;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * One observation about a request fingerprint, sent to all members by gossip.
 *
 * <p>Members merge evidence as a set, so the order of arrival does not matter.
 *
 * @param fingerprint hash of the request
 * @param upstream upstream that ran the request
 * @param kind what was observed
 * @param ageMillis time since the observation, in milliseconds; grows with each relay
 */
public record Evidence(long fingerprint, UpstreamId upstream, Kind kind, long ageMillis) {
  /** Outcome of a request on an upstream. */
  public enum Kind {
    /** The upstream failed while it ran the request. */
    CRASHED,
    /** The upstream completed the request. */
    COMPLETED
  }
}
