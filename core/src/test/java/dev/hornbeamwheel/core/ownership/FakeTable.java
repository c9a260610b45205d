package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.Map;
import java.util.TreeMap;

/** An in-memory stand-in for the platform's table. */
final class FakeTable {
  private final Map<CellId, CellRow> rows = new TreeMap<>();

  RowReadResult read(CellId cell) {
    CellRow row = rows.get(cell);
    return row == null ? new RowReadResult.Absent() : new RowReadResult.Found(row);
  }

  RowWriteResult write(CellRow row, long expectedVersion) {
    CellRow current = rows.get(row.cell());
    if ((current == null ? 0 : current.version()) != expectedVersion) {
      return new RowWriteResult.Conflict();
    }
    rows.put(row.cell(), row);
    return new RowWriteResult.Written();
  }

  Map<CellId, CellRow> rows() {
    return rows;
  }
}
