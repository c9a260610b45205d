package dev.hornbeamwheel.core.host.keys;

/** What became of a conditional write of a table. */
public sealed interface TableWriteResult {
  /**
   * The table was written.
   *
   * @param version the new version of the row
   */
  record Written(long version) implements TableWriteResult {}

  /** The row has another version, or nothing is known of the write; read the row again. */
  record Unconfirmed() implements TableWriteResult {}

  /** The store did nothing; try again. */
  record NotApplied() implements TableWriteResult {}
}
