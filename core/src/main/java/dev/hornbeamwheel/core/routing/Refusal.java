package dev.hornbeamwheel.core.routing;

/** Reason why an upstream refused a request; a refused request did not run. */
public enum Refusal {
  /** The upstream is overloaded. */
  SHED,
  /** The epoch of the request differs from the epoch that the upstream holds. */
  STALE_EPOCH,
  /** The upstream does not own the slice. */
  NOT_OWNER,
  /** The upstream is draining. */
  DRAINING,
  /** The deadline had passed before the upstream started the request. */
  EXPIRED
}
