package dev.hornbeamwheel.bench.placement;

import dev.hornbeamwheel.core.placement.PlacementPolicies;
import dev.hornbeamwheel.core.placement.PlacementPolicy;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Prints imbalance and churn of all placement policies; the argument is the number of seeds. */
public final class PlacementMeasurement {
  private static final int SEEDS = 5;

  private static final List<Variant> VARIANTS =
      List.of(
          new Variant("bounded churn", true, PlacementPolicies::boundedChurn),
          new Variant("bounded churn, no isolation", false, PlacementPolicies::boundedChurn),
          new Variant("bounded-load hashing", false, PlacementPolicies::boundedLoadHashing),
          new Variant("consistent hashing", false, PlacementPolicies::consistentHashing),
          new Variant("rendezvous hashing", false, PlacementPolicies::rendezvousHashing));

  private PlacementMeasurement() {}

  /** Runs all policies under the same loads. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : SEEDS;
    System.out.println(
        "| policy | worst/mean, mean | worst/mean, p99 | time above 1.2 | keys moved a minute"
            + " | shards a minute | hot keys a minute |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    VARIANTS.forEach(variant -> print(variant, seeds));
  }

  private static void print(Variant variant, int seeds) {
    List<PlacementRun.Result> results =
        LongStream.rangeClosed(1, seeds)
            .mapToObj(seed -> new PlacementRun(variant.policy.get(), variant.isolates, seed).run())
            .toList();
    System.out.printf(
        "| %s | %s | %s | %s | %s | %s | %s |%n",
        variant.title,
        spread(results, PlacementRun.Result::meanImbalance, "%.3f"),
        spread(results, PlacementRun.Result::p99Imbalance, "%.2f"),
        spread(results, PlacementRun.Result::partAboveTarget, "%.3f"),
        spread(results, PlacementRun.Result::keysPerMinute, "%.0f"),
        spread(results, PlacementRun.Result::shardsPerMinute, "%.1f"),
        spread(results, PlacementRun.Result::hotKeysPerMinute, "%.1f"));
  }

  private static String spread(
      List<PlacementRun.Result> results,
      ToDoubleFunction<PlacementRun.Result> figure,
      String format) {
    DoubleSummaryStatistics all = results.stream().mapToDouble(figure).summaryStatistics();
    return String.format(
        format + " (" + format + " to " + format + ")",
        all.getAverage(),
        all.getMin(),
        all.getMax());
  }

  private record Variant(String title, boolean isolates, Supplier<PlacementPolicy> policy) {}
}
