package dev.hornbeamwheel.core.ownership;

/** Result of reading a cell's row. */
public sealed interface RowReadResult {
  /** The table holds this row. */
  record Found(CellRow row) implements RowReadResult {}

  /** The table holds no row for the cell. */
  record Absent() implements RowReadResult {}

  /** The table did not respond; retry later. */
  record Unavailable() implements RowReadResult {}
}
