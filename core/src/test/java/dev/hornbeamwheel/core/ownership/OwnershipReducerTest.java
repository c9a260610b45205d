package dev.hornbeamwheel.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.Fencing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class OwnershipReducerTest {
  private static final long SEED = 20261204;

  /** Maximum time without a holder of a slice after an unplanned failure. */
  private static final long MAX_UNPLANNED_GAP_MILLIS = 4000;

  @ParameterizedTest
  @EnumSource(Drill.class)
  void keepsUnavailabilityShortWithCheckedFencing(Drill drill) {
    check(drill, drill.run(SEED, Fencing.CHECKED, SkippedStep.NONE));
  }

  @ParameterizedTest
  @EnumSource(
      value = Drill.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = "PLATFORM_DOWN_10_MIN_CONTROLLER_LOST")
  void keepsUnavailabilityShortWithUncheckedFencing(Drill drill) {
    check(drill, drill.run(SEED, Fencing.UNCHECKED, SkippedStep.NONE));
  }

  private static void check(Drill drill, Drill.Result result) {
    assertThat(result.violations()).isEmpty();
    assertThat(result.longestMillis())
        .isLessThan(
            drill.planned() ? InvariantChecker.MAX_PLANNED_GAP_MILLIS : MAX_UNPLANNED_GAP_MILLIS);
  }

  @Test
  void detectsSlicesLeftOnAFailedUpstream() {
    Drill.Result result =
        Drill.UPSTREAM_LOST.run(SEED, Fencing.CHECKED, SkippedStep.IGNORE_FAILURE);
    assertThat(result.violations()).anyMatch(text -> text.contains("held by nobody"));
  }

  @Test
  void detectsSlicesLeftOnADrainedUpstream() {
    Drill.Result result =
        Drill.UPSTREAM_DRAINED.run(SEED, Fencing.CHECKED, SkippedStep.IGNORE_DRAIN);
    assertThat(result.violations()).anyMatch(text -> text.contains("still holds slices"));
  }
}
