package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.platform.Bytes;
import dev.hornbeamwheel.platform.OperationId;
import dev.hornbeamwheel.platform.TableRow;
import dev.hornbeamwheel.platform.WriteResult;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The rows of the table, in memory. */
final class TableStore {
  private final TreeMap<String, TableRow> rows = new TreeMap<>();

  synchronized Optional<TableRow> read(String name) {
    return Optional.ofNullable(rows.get(name));
  }

  synchronized List<TableRow> list(String prefix) {
    return rows.tailMap(prefix, true).values().stream()
        .takeWhile(row -> row.name().startsWith(prefix))
        .toList();
  }

  /** Writes a row on condition of its version; a repeated operation is answered as before. */
  synchronized WriteResult write(
      String name, long expectedVersion, OperationId operation, Bytes value) {
    TableRow current = rows.get(name);
    long version = current == null ? 0 : current.version();
    if (current != null && current.operation().equals(operation)) {
      return new WriteResult.Written(version);
    }
    if (version != expectedVersion) {
      return new WriteResult.Conflict(
          version, current == null ? OperationId.NONE : current.operation());
    }
    rows.put(name, new TableRow(name, version + 1, operation, value));
    return new WriteResult.Written(version + 1);
  }
}
