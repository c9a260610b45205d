package dev.hornbeamwheel.core.routing;

/** Why an upstream refused a request that it certainly did not run. */
public enum Refusal {
  /** It has too much to do. */
  SHED,
  /** The epoch that came with the request is not the one that it holds. */
  STALE_EPOCH,
  /** It does not hold the slice. */
  NOT_OWNER,
  /** It is leaving. */
  DRAINING,
  /** The deadline had passed when it took up the request. */
  EXPIRED
}
