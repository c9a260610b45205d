package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import java.util.Optional;

/** Result of reading a table. */
public sealed interface TableReadResult {
  /**
   * The row was read, or the store answered that there is none.
   *
   * @param table the table, or empty if there is no row
   * @param version version of the row; its number is zero if there is none
   */
  record Found(Optional<KeyTable> table, StoreVersion version) implements TableReadResult {}

  /** The store did not answer. */
  record Failed() implements TableReadResult {}
}
