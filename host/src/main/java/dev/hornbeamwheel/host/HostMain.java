package dev.hornbeamwheel.host;

import dev.hornbeamwheel.platform.site.SitePlatform;
import dev.hornbeamwheel.runtime.cli.Program;
import dev.hornbeamwheel.runtime.cli.ProgramRunner;
import dev.hornbeamwheel.runtime.cli.StartError;
import dev.hornbeamwheel.runtime.cli.StartResult;
import dev.hornbeamwheel.runtime.settings.SettingsObject;
import java.io.IOException;
import java.net.InetSocketAddress;

/** The command {@code hornbeamwheel-host}. */
public final class HostMain implements Program<HostSettings> {
  private HostLog log;

  private HostMain() {}

  /** Runs the command; see {@code --help}. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(ProgramRunner.of(new HostMain()).run(withSettings(args)).status());
  }

  /** Adds the settings file that the platform names, if the command line is empty. */
  private static String[] withSettings(String[] args) {
    String file = System.getenv(SitePlatform.SETTINGS_VARIABLE);
    return args.length > 0 || file == null ? args : new String[] {"--settings", file};
  }

  @Override
  public String name() {
    return "hornbeamwheel-host";
  }

  @Override
  public String summary() {
    return "Serves callers on an entry host and, if it holds the lease, coordinates all hosts.";
  }

  @Override
  public HostSettings settings(SettingsObject document) {
    return HostSettings.read(document);
  }

  @Override
  public StartResult start(HostSettings settings) {
    HostComponent component = DaggerHostComponent.factory().create(settings);
    log = component.log();
    HostServer server = component.server();
    try {
      server.start();
      return new StartResult.Started(server);
    } catch (IOException e) {
      return new StartResult.Failed(
          new StartError.AddressUnavailable(
              "callerAddress, readinessAddress, metricsAddress or peerAddress",
              InetSocketAddress.createUnresolved(
                  settings.callerAddress().host(), settings.callerAddress().port()),
              e.getMessage()));
    }
  }

  @Override
  public void flushLogs() {
    log.close();
  }
}
