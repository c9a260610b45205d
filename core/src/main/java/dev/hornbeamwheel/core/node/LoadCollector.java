package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Slice;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Sums what a router measures of each slice until the next report. */
final class LoadCollector {
  /** Time between two reports, in milliseconds. */
  static final long REPORT_MILLIS = 1_000;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final MemberId self;
  private final Map<CellId, Map<Slice, Long>> requests = new HashMap<>();
  private long sinceMillis;

  LoadCollector(MemberId self) {
    this.self = self;
  }

  void add(CellId cell, Slice slice, long count) {
    requests.computeIfAbsent(cell, absent -> new HashMap<>()).merge(slice, count, Long::sum);
  }

  /** Returns the reports of the interval that has ended; empty if it has not. */
  List<LoadReport> reportsDue(long nowMillis) {
    long elapsed = nowMillis - sinceMillis;
    if (elapsed < REPORT_MILLIS) {
      return List.of();
    }
    List<LoadReport> reports =
        requests.entrySet().stream()
            .map(cell -> report(cell.getKey(), cell.getValue(), elapsed))
            .toList();
    sinceMillis = nowMillis;
    requests.clear();
    return reports;
  }

  private LoadReport report(CellId cell, Map<Slice, Long> counts, long elapsedMillis) {
    Map<Slice, Double> rates =
        counts.entrySet().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey,
                    slice -> slice.getValue() * MILLIS_PER_SECOND / elapsedMillis));
    return new LoadReport(self, cell.service(), cell.index(), rates);
  }
}
