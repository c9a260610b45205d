package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.platform.http.HttpPlatform;
import dev.hornbeamwheel.runtime.cli.Program;
import dev.hornbeamwheel.runtime.cli.ProgramRunner;
import dev.hornbeamwheel.runtime.cli.StartError;
import dev.hornbeamwheel.runtime.cli.StartResult;
import dev.hornbeamwheel.runtime.settings.SettingsObject;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The command {@code hornbeamwheel-controller}. */
public final class ControllerMain implements Program<ControllerSettings> {
  /** Longest time that one request to the platform or an upstream may take. */
  private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(1_500);

  ControllerMain() {}

  /** Runs the command; see docs/OPERATIONS.md for its options and exit codes. */
  public static void main(String... args) throws InterruptedException {
    System.exit(ProgramRunner.of(new ControllerMain()).run(args).status());
  }

  @Override
  public String name() {
    return "hornbeamwheel-controller";
  }

  @Override
  public String summary() {
    return "Leads cells of keys, grants leases to upstreams and arbitrates contract limits.";
  }

  @Override
  public ControllerSettings settings(SettingsObject document) {
    return ControllerSettings.read(document);
  }

  @Override
  public StartResult start(ControllerSettings settings) {
    HttpPlatform platform = HttpPlatform.create(settings.platform(), PLATFORM_TIMEOUT);
    return start(settings, PlatformServices.over(platform));
  }

  /** Starts a controller that uses the given services. */
  static StartResult start(ControllerSettings settings, PlatformServices platform) {
    ControllerServer server;
    try {
      server = DaggerControllerComponent.factory().create(settings, platform).server();
    } catch (UncheckedIOException e) {
      platform.close().run();
      return unavailable("peerAddress", settings.peerAddress(), e);
    }
    try {
      server.start();
      return new StartResult.Started(server);
    } catch (RuntimeException e) {
      return unavailable("operatorAddress", settings.operatorAddress(), e);
    }
  }

  private static StartResult unavailable(
      String setting, InetSocketAddress address, RuntimeException cause) {
    return new StartResult.Failed(
        new StartError.AddressUnavailable(setting, address, String.valueOf(cause.getMessage())));
  }
}
