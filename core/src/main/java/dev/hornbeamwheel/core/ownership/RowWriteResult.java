package dev.hornbeamwheel.core.ownership;

/** Outcome of a conditional write of a cell's row. */
public sealed interface RowWriteResult {
  /** The write took effect. */
  record Written() implements RowWriteResult {}

  /** The row had another version, so the write did not take effect; read the row. */
  record Conflict() implements RowWriteResult {}

  /** The write surely did not take effect; write again later. */
  record Unavailable() implements RowWriteResult {}

  /** The write may have taken effect; read the row and compare the operation id. */
  record Unknown() implements RowWriteResult {}
}
