package dev.hornbeamwheel.core.host.catalog;

/**
 * States up to which version the coordinator knows a table, and how long ago the store confirmed
 * it.
 *
 * @param changes an empty range of versions: the last one of which the coordinator has sent the
 *     changes, and the one up to which there are no others
 * @param ageMillis time since the response of the store, in milliseconds
 */
public record TableConfirmation(TableChanges changes, long ageMillis) {
  /** Returns the table. */
  public CatalogTable table() {
    return changes.table();
  }
}
