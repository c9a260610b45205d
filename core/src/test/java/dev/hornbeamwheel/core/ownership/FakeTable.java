package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.Map;
import java.util.TreeMap;

/** The rows of the platform's table. */
final class FakeTable {
  private final Map<CellId, CellRow> rows = new TreeMap<>();

  RowReadResult read(CellId cell) {
    CellRow row = rows.get(cell);
    return row == null ? new RowReadResult.Absent() : new RowReadResult.Found(row);
  }

  RowWriteResult write(CellRow row, long expectedVersion) {
    CellRow present = rows.get(row.cell());
    if ((present == null ? 0 : present.version()) != expectedVersion) {
      return new RowWriteResult.Conflict();
    }
    rows.put(row.cell(), row);
    return new RowWriteResult.Written();
  }

  Map<CellId, CellRow> rows() {
    return rows;
  }
}
