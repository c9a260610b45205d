package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import java.util.HashMap;
import java.util.Map;

/** Holds the latest load report of each service. */
final class LoadReports {
  private final Map<ServiceId, Map<Slice, Double>> reports = new HashMap<>();
  private long generation;

  void update(ServiceId service, Map<Slice, Double> load) {
    reports.put(service, Map.copyOf(load));
    generation++;
  }

  /** Returns a number that changes with each report. */
  long generation() {
    return generation;
  }

  Map<Slice, Double> forCell(CellId cell) {
    return reports.getOrDefault(cell.service(), Map.of());
  }
}
