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

/** The command {@code hornbeamwheel-host}. */
public final class HostMain implements Program<HostSettings> {
  private final Path file;
  private HostLog log;

  private HostMain(Path file) {
    this.file = file;
  }

  /** Runs the command; see {@code --help}. */
  public static void main(String[] args) throws InterruptedException {
    String[] complete = withSettings(args);
    Path file = Path.of(complete.length > 1 ? complete[1] : "");
    System.exit(ProgramRunner.of(new HostMain(file)).run(complete).status());
  }

  /** Adds the settings file that the platform names, if the command line is empty. */
  private static String[] withSettings(String[] args) {
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
      if (!HangupSignal.handle(() -> server.settingsRead(refusal()))) {
        System.getLogger(HostMain.class.getName())
            .log(System.Logger.Level.WARNING, "SIGHUP ends this process: no handler can be set");
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

  /** Returns why the settings file would be refused now; empty if it is valid. */
  private String refusal() {
    SettingsResult<HostSettings> read = SettingsReader.read(file, HostSettings::read);
    return read instanceof SettingsResult.Rejected<HostSettings> rejected
        ? rejected.error().message()
        : "";
  }

  @Override
  public void flushLogs() {
    log.close();
  }
}
