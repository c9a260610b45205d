package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** Holds the latest known owners of keys and voters of cells. */
final class OwnershipDirectory {
  private final Map<ServiceId, ShardTable> tables = new HashMap<>();
  private final Map<CellId, OwnershipRow> rows = new HashMap<>();

  /** Creates the table of a service and fills it from the rows already received. */
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

  /** Stores a row and returns whether it was newer than the known one. */
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

  /** Returns the table of a service; never null if the service is declared. */
  ShardTable table(ServiceId service) {
    return tables.get(service);
  }

  /** Returns the newest row of a cell; null if none is known. */
  OwnershipRow row(CellId cell) {
    return rows.get(cell);
  }
}
