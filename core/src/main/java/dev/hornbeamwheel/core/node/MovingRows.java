package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.ownership.CellRow;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Rows with slices on the move, whose requests a router holds back for a time.
 *
 * <p>The end of a move takes a write of the table. When it is late, the new owner is tried all the
 * same: it refuses whatever it does not hold yet.
 */
final class MovingRows {
  /** Time for which requests of a slice on the move are held back, in milliseconds. */
  static final long HOLD_BACK_MILLIS = 500;

  private record Entry(CellRow row, long untilMillis) {}

  private final Map<CellId, Entry> moving = new TreeMap<>();

  /** Notes the latest row of a cell. */
  void learned(long nowMillis, CellRow row) {
    if (row.assignments().anyMoving()) {
      moving.put(row.cell(), new Entry(row, nowMillis + HOLD_BACK_MILLIS));
    } else {
      moving.remove(row.cell());
    }
  }

  /** Removes and returns the rows whose requests are held back no longer. */
  List<CellRow> due(long nowMillis) {
    List<CellRow> due =
        moving.values().stream()
            .filter(entry -> nowMillis >= entry.untilMillis())
            .map(Entry::row)
            .toList();
    due.forEach(row -> moving.remove(row.cell()));
    return due;
  }
}
