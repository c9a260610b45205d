package review;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One entry host, started as a process with the command of the deploy file. */
final class HostProcess implements AutoCloseable {
  final String name;
  final int callerPort;
  private final int readinessPort;
  private final Path settings;
  private final Path log;
  private Process process;

  private HostProcess(String name, int callerPort, int readinessPort, Path settings, Path log) {
    this.name = name;
    this.callerPort = callerPort;
    this.readinessPort = readinessPort;
    this.settings = settings;
    this.log = log;
  }

  /** Writes the settings of a host; nothing runs yet. */
  static HostProcess create(String name, String zone, String storeAddress, Path folder)
      throws IOException {
    int[] ports = freePorts(4);
    Path settings = folder.resolve(name + ".json");
    Files.writeString(
        settings,
        String.format(
            Locale.ROOT,
            "{\"host\":\"%s\",\"dataCentre\":\"%s\",\"callerAddress\":\"127.0.0.1:%d\","
                + "\"readinessAddress\":\"127.0.0.1:%d\",\"peerAddress\":\"127.0.0.1:%d\","
                + "\"metricsAddress\":\"127.0.0.1:%d\",\"storeAddress\":\"%s\","
                + "\"processorCores\":\"0.42\",\"processorSpeed\":\"1\","
                + "\"linkMegabitsPerSecond\":\"700.0\",\"holdMaxMillis\":10000,\"graceSeconds\":6}",
            name, zone, ports[0], ports[1], ports[2], ports[3], storeAddress));
    return new HostProcess(name, ports[0], ports[1], settings, folder.resolve(name + ".log"));
  }

  HostProcess start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("java", "@target/host/host.args", "dev.hornbeamwheel.host.HostMain");
    builder.environment().put("HORNBEAMWHEEL_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    return this;
  }

  /** Kills the process, as SIGKILL does. */
  void kill() {
    process.destroyForcibly();
  }

  List<String> logLines() throws IOException {
    return Files.readAllLines(log);
  }

  /** Asks the readiness address as the load balancer does; 0 if there is no answer in a second. */
  int readiness() {
    try {
      URL url = new URL("http://127.0.0.1:" + readinessPort + "/hornbeamwheel/readiness");
      HttpURLConnection connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(1_000);
      connection.setReadTimeout(1_000);
      return connection.getResponseCode();
    } catch (IOException e) {
      return 0;
    }
  }

  void awaitReady() throws IOException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (readiness() != 200) {
      if (System.nanoTime() > until || !process.isAlive()) {
        throw new ConnectException(name + " is not ready");
      }
      Upstream.sleep(50);
    }
  }

  @Override
  public void close() throws IOException {
    if (process == null) {
      return;
    }
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Returns free ports below those that the system gives to outgoing connections. */
  private static int[] freePorts(int count) throws IOException {
    int[] ports = new int[count];
    for (int i = 0; i < count; ) {
      int port = ThreadLocalRandom.current().nextInt(11_000, 30_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        ports[i++] = socket.getLocalPort();
      } catch (BindException e) {
        // Taken by another process; the next one may be free.
      }
    }
    return ports;
  }
}
