package dev.hornbeamwheel.bench.limits;

import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Prints how well several ways hold a contract over a fleet and how much of it can be used. */
public final class LimitsMeasurement {
  private static final int SEEDS = 3;
  private static final Scenario.Numbers NUMBERS = new Scenario.Numbers(3000, 300, 600);

  private static final List<Variant> VARIANTS =
      List.of(
          new Variant(
              "leased shares",
              () ->
                  new LimitsFleet(Scenario.CENTRES, Scenario.ROUTERS / Scenario.CENTRES, NUMBERS)),
          new Variant(
              "fixed equal parts",
              () -> new FixedLimiter(Scenario.ROUTERS, NUMBERS, 1.0 / Scenario.ROUTERS)),
          new Variant("no coordination", () -> new FixedLimiter(Scenario.ROUTERS, NUMBERS, 1)));

  private LimitsMeasurement() {}

  /** Runs all variants under all scenarios. */
  public static void main(String[] args) {
    System.out.println(
        "| scenario | variant | worst second over rate + burst | usable part of the rate"
            + " | messages/s | table writes |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (Scenario scenario : Scenario.values()) {
      VARIANTS.forEach(variant -> print(scenario, variant));
    }
  }

  private static void print(Scenario scenario, Variant variant) {
    List<Scenario.Result> results =
        LongStream.rangeClosed(1, SEEDS)
            .mapToObj(seed -> scenario.run(variant.limiter.get(), NUMBERS, seed))
            .toList();
    System.out.printf(
        "| %s | %s | %s | %s | %s | %s |%n",
        scenario.title(),
        variant.title,
        spread(results, Scenario.Result::worstSecond, "%.3f"),
        spread(results, Scenario.Result::usable, "%.3f"),
        spread(results, Scenario.Result::messagesPerSecond, "%.1f"),
        spread(results, Scenario.Result::writes, "%.0f"));
  }

  private static String spread(
      List<Scenario.Result> results, ToDoubleFunction<Scenario.Result> figure, String format) {
    DoubleSummaryStatistics all = results.stream().mapToDouble(figure).summaryStatistics();
    return String.format(
        format + " (" + format + " to " + format + ")",
        all.getAverage(),
        all.getMin(),
        all.getMax());
  }

  private record Variant(String title, Supplier<Limiter> limiter) {}
}
