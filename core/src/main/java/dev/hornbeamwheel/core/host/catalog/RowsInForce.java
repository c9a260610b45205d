package dev.hornbeamwheel.core.host.catalog;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The rows of a table that are in force at a host.
 *
 * <p>After the store was restored from a snapshot, a row stays as it was until the store has it
 * again: the snapshot lacks later rows, has rows that were deleted since, and earlier values of
 * others. A value counts as earlier if it was replaced or deleted here a short time ago.
 */
public final class RowsInForce {
  /**
   * Time for which replaced values are remembered, in milliseconds. Snapshots are some seconds old;
   * a longer time would hide more documents that operators write again unchanged.
   */
  static final long REPLACED_VALUES_MILLIS = 60_000;

  /**
   * Time after a restore for which rows that the store lacks are kept at least, in milliseconds.
   * Upstreams register again within it; nothing else would remove one that has ended.
   */
  public static final long KEPT_ROWS_MILLIS = 10_000;

  /** Maximum number of replaced values that are remembered. */
  static final int MAX_REPLACED_VALUES = 10_000;

  /**
   * A value that was replaced or deleted.
   *
   * @param valueHash hash of the value
   * @param atMillis time at which it was replaced
   */
  private record Replaced(String key, int valueHash, long atMillis) {
    private boolean isValueOf(StoredRow row) {
      return key.equals(row.key()) && valueHash == row.value().hashCode();
    }
  }

  private final Map<String, StoredRow> rows = new LinkedHashMap<>();
  private final Deque<Replaced> replaced = new ArrayDeque<>();
  private final Set<String> keptKeys = new HashSet<>();
  private long lastRestoreMillis;

  private RowsInForce() {}

  /** Returns an empty table. */
  public static RowsInForce empty() {
    return new RowsInForce();
  }

  /** Replaces all rows by those of the store. */
  public void replaceAll(long nowMillis, Collection<StoredRow> stored) {
    Set<String> present = stored.stream().map(StoredRow::key).collect(Collectors.toSet());
    List.copyOf(rows.values()).stream()
        .filter(row -> !present.contains(row.key()))
        .forEach(row -> change(nowMillis, new StoredRow(row.key(), "", row.version(), true)));
    stored.forEach(row -> change(nowMillis, row));
  }

  /** Takes over a change of a row. */
  public void change(long nowMillis, StoredRow row) {
    keptKeys.remove(row.key());
    StoredRow before = row.deleted() ? rows.remove(row.key()) : rows.put(row.key(), row);
    if (before != null && (row.deleted() || !before.value().equals(row.value()))) {
      replaced.addLast(new Replaced(row.key(), before.value().hashCode(), nowMillis));
    }
    while (!replaced.isEmpty()
        && (replaced.size() > MAX_REPLACED_VALUES
            || nowMillis - replaced.getFirst().atMillis() > REPLACED_VALUES_MILLIS)) {
      replaced.removeFirst();
    }
  }

  /**
   * Takes over the rows of a store that was restored from a snapshot; returns all rows in force.
   */
  public List<StoredRow> restore(long nowMillis, Collection<StoredRow> stored) {
    lastRestoreMillis = nowMillis;
    Set<String> present = stored.stream().map(StoredRow::key).collect(Collectors.toSet());
    rows.keySet().stream().filter(key -> !present.contains(key)).forEach(keptKeys::add);
    Map<String, List<Replaced>> replacedByKey = new HashMap<>();
    replaced.stream()
        .filter(value -> nowMillis - value.atMillis() <= REPLACED_VALUES_MILLIS)
        .forEach(
            value -> replacedByKey.computeIfAbsent(value.key(), k -> new ArrayList<>()).add(value));
    stored.stream()
        .filter(row -> !isOutdated(row, replacedByKey.getOrDefault(row.key(), List.of())))
        .forEach(row -> change(nowMillis, row));
    return List.copyOf(rows.values());
  }

  private boolean isOutdated(StoredRow stored, List<Replaced> earlierValues) {
    StoredRow inForce = rows.get(stored.key());
    boolean unchanged = inForce != null && inForce.value().equals(stored.value());
    return !unchanged && earlierValues.stream().anyMatch(value -> value.isValueOf(stored));
  }

  /**
   * Returns for how long the rows that the restored store lacks have to be kept yet. Each restore
   * starts the time anew, as it may have lost what was written again after the one before.
   */
  public long keptRowsMillisLeft(long nowMillis) {
    return Math.max(0, lastRestoreMillis + KEPT_ROWS_MILLIS - nowMillis);
  }

  /** Removes the rows that the restored store lacks and has not had again since; returns them. */
  public List<StoredRow> removeKept(long nowMillis) {
    List<StoredRow> removed =
        List.copyOf(keptKeys).stream()
            .map(key -> new StoredRow(key, "", rows.get(key).version(), true))
            .toList();
    removed.forEach(row -> change(nowMillis, row));
    return removed;
  }
}
