package dev.hornbeamwheel.standins.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The runs of all upstreams of this process, and what they show of the promises of the system. */
public final class RunLog {
  /** Longest log; later runs are counted and not kept. */
  private static final int MAX_RECORDS = 500_000;

  private final List<RunRecord> records = new ArrayList<>();
  private final List<String> doubleHoldings = new ArrayList<>();
  private long total;
  private long shedWhileCold;

  /**
   * What the log shows.
   *
   * @param runs number of committed runs
   * @param shedWhileCold requests that reached a cold upstream beyond what it bears
   * @param repeatedKeys idempotency keys that ran more than once, with their counts
   * @param overlappingRuns pairs of runs of one key that overlapped on two upstreams
   * @param doubleHoldings slices that two upstreams held at one time
   */
  public record Summary(
      long runs,
      long shedWhileCold,
      Map<String, Long> repeatedKeys,
      List<List<RunRecord>> overlappingRuns,
      List<String> doubleHoldings) {}

  synchronized void add(RunRecord run) {
    total++;
    if (records.size() < MAX_RECORDS) {
      records.add(run);
    }
  }

  synchronized void addShedWhileCold() {
    shedWhileCold++;
  }

  synchronized void addDoubleHolding(String description) {
    doubleHoldings.add(description);
  }

  /** Returns the runs so far, in the order of their commits. */
  public synchronized List<RunRecord> runs() {
    return List.copyOf(records);
  }

  /** Returns what the runs so far show. */
  public synchronized Summary summary() {
    return new Summary(
        total, shedWhileCold, repeatedKeys(), overlappingRuns(), List.copyOf(doubleHoldings));
  }

  private Map<String, Long> repeatedKeys() {
    return records.stream()
        .map(RunRecord::idempotencyKey)
        .filter(key -> !key.isEmpty())
        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()))
        .entrySet()
        .stream()
        .filter(entry -> entry.getValue() > 1)
        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  private List<List<RunRecord>> overlappingRuns() {
    return records.stream()
        .filter(run -> !run.key().isEmpty())
        .collect(Collectors.groupingBy(RunRecord::key))
        .values()
        .stream()
        .flatMap(runs -> overlaps(runs).stream())
        .toList();
  }

  private static List<List<RunRecord>> overlaps(List<RunRecord> runs) {
    List<RunRecord> sorted =
        runs.stream().sorted(Comparator.comparingLong(RunRecord::startedAtMillis)).toList();
    return IntStream.range(1, sorted.size())
        .filter(i -> overlap(sorted.get(i - 1), sorted.get(i)))
        .mapToObj(i -> List.of(sorted.get(i - 1), sorted.get(i)))
        .toList();
  }

  private static boolean overlap(RunRecord earlier, RunRecord later) {
    return !earlier.upstream().equals(later.upstream())
        && later.startedAtMillis() < earlier.committedAtMillis();
  }
}
