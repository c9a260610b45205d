package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.StoreVersion;

/** Result of a conditional write of a table. */
public sealed interface TableWriteResult {
  /**
   * The table was written.
   *
   * @param version the new version of the row
   */
  record Written(StoreVersion version) implements TableWriteResult {}

  /** The row has another version, or the outcome is unknown; the row must be read again. */
  record Unconfirmed() implements TableWriteResult {}

  /** The table was not written; the write can be retried. */
  record NotApplied() implements TableWriteResult {}
}
