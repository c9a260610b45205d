package dev.hornbeamwheel.core.config;

/** What a data centre that is cut off from all others does with the shards that it owns. */
public enum Isolation {
  /** It goes on serving them. */
  KEEP_SERVING,
  /** It lets their leases lapse, so that another data centre may take them. */
  YIELD
}
