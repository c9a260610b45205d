package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Joins the load reports of all routers. */
final class LoadBoard {
  /** Time between two sums, in milliseconds. */
  static final long SUM_MILLIS = 1_000;

  /** Age at which a report no longer counts, in milliseconds. */
  static final long EXPIRY_MILLIS = 3_000;

  private record Source(MemberId reporter, int cell) {}

  private record Entry(long atMillis, Map<Slice, Double> load) {}

  private final Map<ServiceId, Map<Source, Entry>> reports = new TreeMap<>();
  private long summedAtMillis;

  void add(long nowMillis, LoadReport report) {
    reports
        .computeIfAbsent(report.service(), absent -> new HashMap<>())
        .put(
            new Source(report.reporter(), report.cell()),
            new Entry(nowMillis, report.requestsPerSecond()));
  }

  /** Returns the load of each service that was reported on, if a sum is due; else nothing. */
  Map<ServiceId, Map<Slice, Double>> sumsDue(long nowMillis) {
    if (nowMillis - summedAtMillis < SUM_MILLIS) {
      return Map.of();
    }
    summedAtMillis = nowMillis;
    Map<ServiceId, Map<Slice, Double>> sums = new TreeMap<>();
    reports.forEach((service, entries) -> sums.put(service, sum(nowMillis, entries)));
    reports.values().removeIf(Map::isEmpty);
    return sums;
  }

  private static Map<Slice, Double> sum(long nowMillis, Map<Source, Entry> entries) {
    entries.values().removeIf(entry -> nowMillis - entry.atMillis() >= EXPIRY_MILLIS);
    Map<Slice, Double> sum = new HashMap<>();
    entries
        .values()
        .forEach(
            entry -> entry.load().forEach((slice, rate) -> sum.merge(slice, rate, Double::sum)));
    return sum;
  }
}
