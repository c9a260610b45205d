package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.model.CellId;
import java.util.HashMap;
import java.util.Map;

/** Bounds how often a router reads the row of a cell, which gossip brings it as a rule. */
final class RowRefresh {
  /** Time between two reads of one row, in milliseconds. */
  static final long INTERVAL_MILLIS = 1_000;

  private final Map<CellId, Long> readAtMillis = new HashMap<>();

  /** Returns whether the row may be read now, and counts it as read if so. */
  boolean allowed(long nowMillis, CellId cell) {
    Long last = readAtMillis.get(cell);
    if (last != null && nowMillis - last < INTERVAL_MILLIS) {
      return false;
    }
    readAtMillis.put(cell, nowMillis);
    return true;
  }
}
