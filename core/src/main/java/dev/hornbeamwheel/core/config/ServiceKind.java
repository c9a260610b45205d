package dev.hornbeamwheel.core.config;

/** How the upstreams of a service share its requests. */
public enum ServiceKind {
  /** Each key is owned by one upstream. */
  KEYED,
  /** Any upstream may run any request. */
  POOLED
}
