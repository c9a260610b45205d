package dev.hornbeamwheel.runtime.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class GracefulShutdownTest {
  @Test
  void stopsTheProgramOnce() throws InterruptedException {
    AtomicInteger stops = new AtomicInteger();
    GracefulShutdown shutdown = new GracefulShutdown(stops::incrementAndGet, () -> {});

    shutdown.stop();
    shutdown.stop();
    shutdown.await();

    assertThat(stops).hasValue(1);
  }
}
