package dev.hornbeamwheel.bench.policy;

/**
 * Prints the tables of routing policies.
 *
 * <p>Arguments: the measurement ({@code choice}, {@code cold}, or {@code trial} for one load), the
 * first seed, the number of seeds, and the measured seconds.
 */
public final class PolicyBench {
  private PolicyBench() {}

  /** Runs the measurement that the arguments name. */
  public static void main(String[] args) {
    long firstSeed = Long.parseLong(args[1]);
    int seeds = Integer.parseInt(args[2]);
    int seconds = Integer.parseInt(args[3]);
    if (args[0].equals("trial")) {
      ChoiceOfUpstream.print(new Workload(10, 0.8, seconds, false), firstSeed, seeds);
    } else if (args[0].equals("cold")) {
      ColdStartRamp.print(firstSeed, seeds);
    } else if (args[0].equals("choice")) {
      ChoiceOfUpstream.print(firstSeed, seeds, seconds);
    }
  }
}
