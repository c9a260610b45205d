package dev.hornbeamwheel.core.host.keys;

/** What became of a conditional write of a table. */
public sealed interface TableWrite {
  /**
   * The table was written.
   *
   * @param version the new version of the row
   */
  record Written(long version) implements TableWrite {}

  /** The row has another version, or nothing is known of the write; read the row again. */
  record Unsettled() implements TableWrite {}

  /** The store did nothing; try again. */
  record NotDone() implements TableWrite {}
}
