package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests when the event loop counts as lagging: a process that starts or was stalled may read
 * requests whose callers have disconnected already.
 */
final class LoopDelayTest {
  private static final long TICK_INTERVAL_MILLIS = 100;

  @Test
  void startsLagging() {
    LoopDelay delay = LoopDelay.startingAt(1_000);

    assertThat(delay.lagging(1_001)).isTrue();
  }

  @Test
  void recoversAfterRegularTicks() {
    LoopDelay delay = LoopDelay.startingAt(0);
    for (long now = TICK_INTERVAL_MILLIS; now <= 3_000; now += TICK_INTERVAL_MILLIS) {
      delay.recordTick(now, TICK_INTERVAL_MILLIS);
    }

    assertThat(delay.lagging(3_010)).isFalse();
  }

  @Test
  void lagsAfterLateTick() {
    LoopDelay delay = LoopDelay.startingAt(0);
    for (long now = TICK_INTERVAL_MILLIS; now <= 3_000; now += TICK_INTERVAL_MILLIS) {
      delay.recordTick(now, TICK_INTERVAL_MILLIS);
    }

    assertThat(delay.lagging(4_200)).isTrue();
    delay.recordTick(4_200, TICK_INTERVAL_MILLIS);
    assertThat(delay.lagging(4_300)).isTrue();
  }

  @Test
  void takeMaxDelayResetsMaximum() {
    LoopDelay delay = LoopDelay.startingAt(0);
    delay.recordTick(TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS);
    delay.recordTick(4 * TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS);
    delay.recordTick(5 * TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS);

    assertThat(delay.takeMaxDelayMillis()).isEqualTo(2 * TICK_INTERVAL_MILLIS);
    assertThat(delay.takeMaxDelayMillis()).isZero();
  }
}
