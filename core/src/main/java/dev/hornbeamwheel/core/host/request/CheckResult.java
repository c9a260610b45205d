package dev.hornbeamwheel.core.host.request;

/** The result of an attempt to connect to an upstream, made to learn whether its process runs. */
public enum CheckResult {
  /** The upstream accepted the connection. */
  ACCEPTED,
  /** Nothing listens at the address of the upstream. */
  REFUSED,
  /** There was no response in time, or no route to the upstream. */
  NO_RESPONSE
}
