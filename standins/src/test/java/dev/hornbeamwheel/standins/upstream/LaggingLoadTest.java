package dev.hornbeamwheel.standins.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LaggingLoadTest {
  private final LaggingLoad load = new LaggingLoad(100);

  @Test
  void aReportShowsTheLoadOfOneLagAgo() {
    load.record(0, 1, 0, false);
    load.record(50, 2, 3, false);
    assertThat(load.read(99).running()).isZero();
    assertThat(load.read(120).running()).isEqualTo(1);
    assertThat(load.read(150).queued()).isEqualTo(3);
  }
}
