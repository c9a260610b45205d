package dev.hornbeamwheel.core.host.catalog;

/** Where a host takes the changes of a table from. */
public enum TableSource {
  /** From the store. */
  STORE,
  /** From the store, often, as the host is the coordinator and other hosts rely on it. */
  STORE_FOR_OTHERS,
  /** From the coordinator. */
  COORDINATOR
}
