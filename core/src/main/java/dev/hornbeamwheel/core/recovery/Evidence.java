package dev.hornbeamwheel.core.recovery;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;

/**
 * One observation about a request fingerprint, sent to all members.
 *
 * <p>Members merge evidence as a set, so the order of arrival does not matter.
 *
 * @param fingerprint hash of the request
 * @param upstream upstream that ran the request
 * @param kind what was observed
 * @param ageMillis time since the observation, in milliseconds; grows with each relay
 */
public record Evidence(long fingerprint, UpstreamIncarnation upstream, Kind kind, long ageMillis) {
  /** Kind of an observation. */
  public enum Kind {
    /** The upstream ended while it ran the request. */
    CRASHED,
    /** The upstream completed the request. */
    COMPLETED,
    /** An operator allowed the request again; the upstream has no meaning. */
    LIFTED
  }

  /** Returns an operator's decision to allow a request again. */
  public static Evidence lifted(long fingerprint) {
    return new Evidence(fingerprint, UpstreamIncarnation.NONE, Kind.LIFTED, 0);
  }
}
