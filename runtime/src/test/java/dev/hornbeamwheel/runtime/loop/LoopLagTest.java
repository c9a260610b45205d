package dev.hornbeamwheel.runtime.loop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class LoopLagTest {
  @Test
  void countsTicksThatAreLateByMoreThanATick() {
    LoopLag lag = LoopLag.startingAt(1_000);

    lag.ticked(1_060, 50);
    assertThat(lag.lastMillis()).isEqualTo(10);
    assertThat(lag.lateTicks()).isZero();

    lag.ticked(1_200, 50);
    assertThat(lag.lastMillis()).isEqualTo(90);
    assertThat(lag.lateTicks()).isEqualTo(1);
  }
}
