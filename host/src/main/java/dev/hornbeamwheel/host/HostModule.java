package dev.hornbeamwheel.host;

import dagger.Module;
import dagger.Provides;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.core.time.SuspensionClock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import javax.inject.Singleton;

/** Provides the singleton dependencies of an entry host. */
@Module
final class HostModule {
  private HostModule() {}

  @Provides
  @Singleton
  static EventLoopGroup loop() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  @Provides
  @Singleton
  static SuspensionClock clock() {
    return Clock.countingSuspension();
  }

  @Provides
  @Singleton
  static HostLog log(HostSettings settings) {
    return HostLog.start(settings.host().value(), System.out);
  }

  @Provides
  @Singleton
  static HostMetrics metrics(HostLog log) {
    HostMetrics metrics = HostMetrics.create();
    metrics
        .metrics()
        .counter(
            "hornbeamwheel_log_lines_dropped_total",
            "Log lines that the full queue of the log could not take.",
            log::droppedLines);
    return metrics;
  }
}
