package dev.hornbeamwheel.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/** Checks the protocol invariants under random fault sequences. */
class OwnershipFuzzTest {
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
  void invariantsHoldUnderFaults(@ForAll("faults") List<Fault> faults) {
    assertThat(OwnershipFuzz.violations(faults, SkippedStep.NONE)).isEmpty();
  }
}
