package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.platform.TableRow;
import dev.hornbeamwheel.platform.store.CellRowCodec;

/** A row of the table is not what its name says; ends the command. */
final class UnreadableRowException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private UnreadableRowException(String row, IllegalArgumentException cause) {
    super(
        "row "
            + row
            + " is unreadable: "
            + cause.getMessage()
            + "; use the command of the release that wrote it"
            + " (docs/TROUBLESHOOTING.md#ctl-row-unreadable)",
        cause);
  }

  /**
   * Returns the cell that a row holds.
   *
   * @throws UnreadableRowException if it holds none
   */
  static CellRow decode(TableRow row) {
    try {
      return CellRowCodec.create().decode(row.value());
    } catch (IllegalArgumentException e) {
      throw new UnreadableRowException(row.name(), e);
    }
  }
}
