package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Fencing;

/** Prints the slice unavailability in each drill. */
final class DrillTable {
  private static final long SEED = 20261204;

  private DrillTable() {}

  /** Prints the results as a Markdown table; takes no arguments. */
  public static void main(String[] args) {
    System.out.println("| drill | fencing | slices affected | longest unavailable ms |");
    System.out.println("| --- | --- | --- | --- |");
    for (Drill drill : Drill.values()) {
      for (Fencing fencing : Fencing.values()) {
        Drill.Result result = drill.run(SEED, fencing, SkippedStep.NONE);
        System.out.printf(
            "| %s | %s | %d of 256 | %d |%n",
            drill, fencing, result.affected(), result.longestMillis());
      }
    }
  }
}
