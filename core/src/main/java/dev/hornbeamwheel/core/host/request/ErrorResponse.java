package dev.hornbeamwheel.core.host.request;

/** An error response that the host sends to the caller in place of an upstream's response. */
public enum ErrorResponse {
  /** No route matches the Host header and path. */
  NO_ROUTE,
  /** The API key of the caller is missing or unknown. */
  UNAUTHORIZED,
  /** The quota of the caller's organisation is used up; the request did not run. */
  QUOTA_EXCEEDED,
  /** The request has no key, but its service is keyed. */
  KEY_MISSING,
  /**
   * The host has no configuration or no upstreams yet, or is shutting down; the request did not
   * run.
   */
  NOT_READY,
  /** No upstream has a free slot in time; the request did not run and will not run. */
  NO_ROOM,
  /** No response arrived before the deadline; the request may have run. */
  TIMED_OUT,
  /** Upstreams ended while they ran the same request before; it was not sent. */
  QUARANTINED,
  /** The upstream sent no usable response; the request may have run. */
  UPSTREAM_FAILED
}
