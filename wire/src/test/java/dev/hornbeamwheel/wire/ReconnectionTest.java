package dev.hornbeamwheel.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class ReconnectionTest {
  @Test
  void doublesTheDelayUpToTheCapAndStartsOverAfterSuccess() {
    Reconnection reconnection = new Reconnection();

    assertThat(reconnection.failed()).isEqualTo(50);
    assertThat(reconnection.failed()).isEqualTo(100);
    IntStream.range(0, 10).forEach(i -> reconnection.failed());
    assertThat(reconnection.failed()).isEqualTo(Reconnection.MAX_DELAY_MILLIS);
    reconnection.succeeded();
    assertThat(reconnection.failed()).isEqualTo(Reconnection.FIRST_DELAY_MILLIS);
  }
}
