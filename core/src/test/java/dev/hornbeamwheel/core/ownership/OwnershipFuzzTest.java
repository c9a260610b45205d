package dev.hornbeamwheel.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.Slice;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/** Draws sequences of faults and judges them by the oracles. */
class OwnershipFuzzTest {
  /** Time after which every slice is held again once all faults ended, in milliseconds. */
  static final long RECOVERY_MILLIS = 4000;

  private static final Service CHECKED =
      Sites.service("stock-ledger", 8, 2, Fencing.CHECKED, Isolation.KEEP_SERVING);
  private static final Service UNCHECKED =
      Sites.service("baymap", 4, 1, Fencing.UNCHECKED, Isolation.YIELD);

  @Provide
  Arbitrary<List<Fault>> faults() {
    Arbitrary<Fault> fault =
        Combinators.combine(
                Arbitraries.of(Fault.Kind.values()),
                Arbitraries.integers().between(0, 30),
                Arbitraries.integers().between(0, 6000),
                Arbitraries.integers().between(1, 6000))
            .as(Fault::new);
    return fault.list().ofMinSize(1).ofMaxSize(4);
  }

  @Property(tries = 400, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void promisesHoldUnderFaults(@ForAll("faults") List<Fault> faults) {
    assertThat(violations(faults, Shortcut.NONE)).isEmpty();
  }

  static List<String> violations(List<Fault> faults, Shortcut shortcut) {
    FakeCluster cluster =
        Sites.cluster(faults.toString().hashCode(), shortcut, 3, 6, CHECKED, UNCHECKED);
    cluster.report(SpreadPolicy.hot(Slice.ofKey(1, 77)), CHECKED);
    cluster.oracles().checkAllHeld();
    boolean calm = faults.stream().allMatch(OwnershipFuzzTest::orderly);
    cluster.oracles().calm(calm);
    faults.forEach(fault -> fault.schedule(cluster));
    cluster.run(faults.stream().mapToInt(f -> f.atMillis() + f.forMillis()).max().orElse(0));
    cluster.oracles().calm(true);
    cluster.run(RECOVERY_MILLIS);
    cluster.oracles().checkAllHeld();
    cluster.run(3000);
    cluster.oracles().checkAllHeld();
    cluster.oracles().checkTable();
    return cluster.oracles().violations();
  }

  private static boolean orderly(Fault fault) {
    return switch (fault.kind()) {
      case DRAIN_UPSTREAM, DRAIN_DATA_CENTRE, STOP_MEMBER -> true;
      default -> false;
    };
  }
}
