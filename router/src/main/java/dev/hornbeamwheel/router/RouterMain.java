package dev.hornbeamwheel.router;

import dev.hornbeamwheel.runtime.cli.Program;
import dev.hornbeamwheel.runtime.cli.ProgramRunner;
import dev.hornbeamwheel.runtime.cli.StartError;
import dev.hornbeamwheel.runtime.cli.StartResult;
import dev.hornbeamwheel.runtime.settings.SettingsObject;

/** The command {@code hornbeamwheel-router}. */
public final class RouterMain implements Program<RouterSettings> {
  private RouterMain() {}

  /** Runs the command; see docs/OPERATIONS.md for its options and exit codes. */
  public static void main(String... args) throws InterruptedException {
    System.exit(ProgramRunner.of(new RouterMain()).run(args).status());
  }

  @Override
  public String name() {
    return "hornbeamwheel-router";
  }

  @Override
  public String summary() {
    return "Takes callers' requests to the upstreams that own their keys.";
  }

  @Override
  public RouterSettings settings(SettingsObject document) {
    return RouterSettings.read(document);
  }

  @Override
  public StartResult start(RouterSettings settings) {
    try {
      RouterServer server = DaggerRouterComponent.factory().create(settings).server();
      server.start();
      return new StartResult.Started(server);
    } catch (RuntimeException e) {
      return new StartResult.Failed(
          new StartError.AddressUnavailable(
              "callerAddress, peerAddress or operatorAddress",
              settings.callerAddress(),
              String.valueOf(e.getMessage())));
    }
  }
}
