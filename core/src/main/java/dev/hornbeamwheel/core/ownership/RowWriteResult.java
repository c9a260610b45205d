package dev.hornbeamwheel.core.ownership;

/** Result of a conditional write of a cell's row. */
public sealed interface RowWriteResult {
  /** The write took effect. */
  record Written() implements RowWriteResult {}

  /** The row had another version and the write did not take effect; read the row. */
  record Conflict() implements RowWriteResult {}

  /** The write definitely did not take effect; retry later. */
  record Unavailable() implements RowWriteResult {}

  /** The write may have taken effect; read the row and compare operation ids. */
  record Unknown() implements RowWriteResult {}
}
