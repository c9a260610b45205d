package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A process that starts or was held up may read requests whose callers have left. */
final class LoopDelayTest {
  private static final long TICK_MILLIS = 100;

  @Test
  void aStartingProcessIsBehind() {
    LoopDelay delay = LoopDelay.startingAt(1_000);

    assertThat(delay.behind(1_001)).isTrue();
  }

  @Test
  void regularTicksEndTheDelay() {
    LoopDelay delay = LoopDelay.startingAt(0);
    for (long now = TICK_MILLIS; now <= 3_000; now += TICK_MILLIS) {
      delay.ticked(now, TICK_MILLIS);
    }

    assertThat(delay.behind(3_010)).isFalse();
  }

  @Test
  void aLateTickShowsThatTheLoopIsBehind() {
    LoopDelay delay = LoopDelay.startingAt(0);
    for (long now = TICK_MILLIS; now <= 3_000; now += TICK_MILLIS) {
      delay.ticked(now, TICK_MILLIS);
    }

    assertThat(delay.behind(4_200)).isTrue();
    delay.ticked(4_200, TICK_MILLIS);
    assertThat(delay.behind(4_300)).isTrue();
  }

  @Test
  void theWorstDelayIsToldOnce() {
    LoopDelay delay = LoopDelay.startingAt(0);
    delay.ticked(TICK_MILLIS, TICK_MILLIS);
    delay.ticked(4 * TICK_MILLIS, TICK_MILLIS);
    delay.ticked(5 * TICK_MILLIS, TICK_MILLIS);

    assertThat(delay.takeWorstMillis()).isEqualTo(2 * TICK_MILLIS);
    assertThat(delay.takeWorstMillis()).isZero();
  }
}
