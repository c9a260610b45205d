package dev.hornbeamwheel.core.host.catalog;

import java.util.List;

/**
 * All changes of a table between two versions of the store, which are of one era.
 *
 * @param afterVersion version of the store before the changes
 * @param version version of the store after them
 * @param rows the rows that were changed or deleted, in the order of their versions
 */
public record TableChanges(
    CatalogTable table, StoreVersion afterVersion, StoreVersion version, List<StoredRow> rows) {
  /** Returns a message without rows, which only names the version of a table. */
  public static TableChanges none(CatalogTable table, StoreVersion version) {
    return new TableChanges(table, version, version, List.of());
  }
}
