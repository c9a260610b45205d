package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** What is known of the owners of keys and of the voters of cells. */
final class OwnershipDirectory {
  private final Map<ServiceId, ShardTable> tables = new HashMap<>();
  private final Map<CellId, OwnershipRow> rows = new HashMap<>();

  /** Prepares the table of a service; rows that came earlier are taken in. */
  void declare(Service service) {
    ShardTable table = tables.get(service.id());
    if (table != null && table.shards() == service.shards()) {
      return;
    }
    ShardTable fresh = new ShardTable(service.shards());
    tables.put(service.id(), fresh);
    rows.values().stream()
        .filter(row -> row.cell().service().equals(service.id()))
        .forEach(fresh::apply);
  }

  /** Takes a row in and returns whether it was later than the one known. */
  boolean apply(OwnershipRow row) {
    OwnershipRow known = rows.get(row.cell());
    if (known != null && known.rowVersion() >= row.rowVersion()) {
      return false;
    }
    rows.put(row.cell(), row);
    ShardTable table = tables.get(row.cell().service());
    if (table != null) {
      table.apply(row);
    }
    return true;
  }

  /** Returns the table of a declared service, never null. */
  ShardTable table(ServiceId service) {
    return tables.get(service);
  }

  /** Returns the latest row of a cell; null if none is known. */
  OwnershipRow row(CellId cell) {
    return rows.get(cell);
  }
}
