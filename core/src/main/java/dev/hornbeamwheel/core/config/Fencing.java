package dev.hornbeamwheel.core.config;

/** What the upstreams of a service check of a grant. */
public enum Fencing {
  /** Upstreams refuse grants of an older term and requests of an older epoch. */
  CHECKED,
  /** Upstreams obey every order whose lease has not lapsed, whoever gives it. */
  UNCHECKED
}
