package dev.hornbeamwheel.core.host.catalog;

/** A table of the store that every host follows. */
public enum CatalogTable {
  /** The configuration and the evacuations, which operators write. */
  OPERATOR_DOCUMENTS,

  /** The registrations of upstreams. */
  REGISTRATIONS
}
