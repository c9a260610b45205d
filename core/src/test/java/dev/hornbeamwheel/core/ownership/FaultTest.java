package dev.hornbeamwheel.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Regression tests for fault sequences that failed in {@link OwnershipFuzz}. */
class FaultTest {
  /** Replays the sequences of seeds that once violated an invariant. */
  @ParameterizedTest
  @ValueSource(
      longs = {
        59, 73, 91, 93, 123, 131, 135, 1983, 100332, 100474, 100489, 100846, 103658, 201521, 203505,
        204080
      })
  void previouslyFailingSequencesPass(long seed) {
    assertThat(OwnershipFuzz.violations(OwnershipFuzz.draw(new Random(seed)), SkippedStep.NONE))
        .isEmpty();
  }

  @Test
  void reconnectedControllerDoesNotTakeOverALedCell() {
    List<Fault> faults = List.of(new Fault(Fault.Kind.CUT_MEMBER, 1, 1, 5944));
    assertThat(OwnershipFuzz.violations(faults, SkippedStep.NONE)).isEmpty();
  }
}
