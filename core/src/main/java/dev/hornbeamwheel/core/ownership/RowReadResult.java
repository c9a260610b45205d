package dev.hornbeamwheel.core.ownership;

/** Outcome of reading a cell's row. */
public sealed interface RowReadResult {
  /** The row as the table holds it. */
  record Found(CellRow row) implements RowReadResult {}

  /** The table holds no such row. */
  record Absent() implements RowReadResult {}

  /** The table did not answer; read again later. */
  record Unavailable() implements RowReadResult {}
}
