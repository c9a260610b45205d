package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.Slice;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Runs random fault sequences from a seed and prints a minimized sequence for each failure. */
final class OwnershipFuzz {
  private static final int TARGET_BOUND = 31;
  private static final int MAX_TIME_MILLIS = 6000;

  private static final List<Fault.Kind> KINDS = List.of(Fault.Kind.values());

  /** Time after the end of all faults within which every slice must be held again. */
  static final long RECOVERY_MILLIS = 4000;

  private static final Service CHECKED =
      ClusterFixtures.service("stock-ledger", 8, 2, Fencing.CHECKED, Isolation.KEEP_SERVING);
  private static final Service UNCHECKED =
      ClusterFixtures.service("baymap", 4, 1, Fencing.UNCHECKED, Isolation.YIELD);

  private OwnershipFuzz() {}

  /**
   * Runs the fault sequences.
   *
   * @param args the first seed, the number of sequences (a single one is printed without
   *     minimizing), and optionally the {@link SkippedStep}
   */
  public static void main(String[] args) {
    long seed = Long.parseLong(args[0]);
    int tries = Integer.parseInt(args[1]);
    SkippedStep skippedStep = args.length > 2 ? SkippedStep.valueOf(args[2]) : SkippedStep.NONE;
    int failed = 0;
    for (int i = 0; i < tries; i++) {
      List<Fault> faults = draw(new Random(seed + i));
      List<String> violations = violations(faults, skippedStep);
      if (!violations.isEmpty()) {
        failed++;
        System.out.println("seed " + (seed + i) + ": " + violations.get(0));
        System.out.println("  " + (tries == 1 ? faults : shrink(faults, skippedStep)));
      }
    }
    System.out.println("tries " + tries + ", failed " + failed);
  }

  static List<Fault> draw(Random random) {
    List<Fault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      Fault.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
      faults.add(
          new Fault(
              kind,
              random.nextInt(TARGET_BOUND),
              random.nextInt(MAX_TIME_MILLIS),
              1 + random.nextInt(MAX_TIME_MILLIS)));
    }
    return faults;
  }

  /** Removes faults one by one while the remaining sequence still fails. */
  private static List<Fault> shrink(List<Fault> faults, SkippedStep skippedStep) {
    for (Fault fault : faults) {
      List<Fault> fewer = new ArrayList<>(faults);
      fewer.remove(fault);
      if (!fewer.isEmpty() && !violations(fewer, skippedStep).isEmpty()) {
        return shrink(fewer, skippedStep);
      }
    }
    return faults;
  }

  /** Runs one sequence and returns the violated invariants. */
  static List<String> violations(List<Fault> faults, SkippedStep skippedStep) {
    FakeCluster cluster =
        ClusterFixtures.cluster(
            faults.toString().hashCode(), skippedStep, 3, 6, CHECKED, UNCHECKED);
    cluster.reportLoad(SpreadPolicy.hotKeyLoad(Slice.ofKey(1, 77)), CHECKED);
    cluster.invariants().checkAllHeld();
    boolean healthy = faults.stream().allMatch(OwnershipFuzz::keepsNetworkHealthy);
    cluster.invariants().healthy(healthy);
    faults.forEach(fault -> fault.schedule(cluster));
    cluster.run(faults.stream().mapToInt(f -> f.atMillis() + f.forMillis()).max().orElse(0));
    cluster.invariants().healthy(true);
    cluster.run(RECOVERY_MILLIS);
    cluster.invariants().checkAllHeld();
    cluster.run(3000);
    cluster.invariants().checkAllHeld();
    cluster.invariants().checkTable();
    return cluster.invariants().violations();
  }

  private static boolean keepsNetworkHealthy(Fault fault) {
    return switch (fault.kind()) {
      case DRAIN_UPSTREAM, DRAIN_DATA_CENTRE, STOP_MEMBER -> true;
      default -> false;
    };
  }
}
