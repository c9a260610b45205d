package dev.hornbeamwheel.host;

import dev.hornbeamwheel.platform.site.PlatformAdapter;
import dev.hornbeamwheel.runtime.cli.Program;
import dev.hornbeamwheel.runtime.cli.ProgramRunner;
import dev.hornbeamwheel.runtime.cli.StartError;
import dev.hornbeamwheel.runtime.cli.StartResult;
import dev.hornbeamwheel.runtime.settings.SettingsObject;
import dev.hornbeamwheel.runtime.settings.SettingsReader;
import dev.hornbeamwheel.runtime.settings.SettingsResult;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/** Entry point of the command {@code hornbeamwheel-host}. */
public final class HostMain implements Program<HostSettings> {
  private final Path settingsFile;
  private HostLog log;

  private HostMain(Path settingsFile) {
    this.settingsFile = settingsFile;
  }

  /** Runs the command; see {@code --help}. */
  public static void main(String[] args) throws InterruptedException {
    String[] arguments = withDefaultSettings(args);
    Path file = Path.of(arguments.length > 1 ? arguments[1] : "");
    System.exit(ProgramRunner.of(new HostMain(file)).run(arguments).status());
  }

  /** Adds the settings file named by the platform's environment variable to an empty command. */
  private static String[] withDefaultSettings(String[] args) {
    String file = System.getenv(PlatformAdapter.SETTINGS_VARIABLE);
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
      if (!SighupHandler.install(() -> server.settingsRead(settingsError()))) {
        System.getLogger(HostMain.class.getName())
            .log(
                System.Logger.Level.WARNING,
                "SIGHUP will terminate this process: cannot install a handler for it");
      }
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

  /** Returns why the settings file in its present state is invalid; empty if it is valid. */
  private String settingsError() {
    SettingsResult<HostSettings> result = SettingsReader.read(settingsFile, HostSettings::read);
    return result instanceof SettingsResult.Rejected<HostSettings> rejected
        ? rejected.error().message()
        : "";
  }

  @Override
  public void flushLogs() {
    log.close();
  }
}
