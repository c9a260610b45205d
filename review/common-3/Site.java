import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A store and entry hosts, each a process started as the deploy file says. */
final class Site implements AutoCloseable {
  private static final String[] DATA_CENTRES = {"quimper", "morlaix", "vannes"};

  /** Ports that were chosen or found in use. */
  private static final Set<Integer> TAKEN_PORTS = new HashSet<>();

  /** An entry host, whose process may be started several times. */
  final class Host {
    final String name;
    final String dataCentre;
    final int callerPort = freePort();
    final int readinessPort = freePort();
    private final int peerPort = freePort();
    private final int metricsPort = freePort();
    private final Path log;
    Process process;

    private Host(int index) throws IOException {
      dataCentre = DATA_CENTRES[index % DATA_CENTRES.length];
      name = "front-" + dataCentre + "-" + (index / DATA_CENTRES.length + 1);
      log = folder.resolve(name + ".log");
    }

    /** Starts its process with the command of the deploy file. */
    void start() throws IOException {
      Path settings = folder.resolve(name + ".json");
      Files.writeString(
          settings,
          """
          {"host": "%s", "dataCentre": "%s",
           "callerAddress": "127.0.0.1:%d", "readinessAddress": "127.0.0.1:%d",
           "peerAddress": "127.0.0.1:%d", "metricsAddress": "127.0.0.1:%d",
           "storeAddress": "127.0.0.1:%d",
           "processorCores": "0.42", "processorSpeed": "1", "linkMegabitsPerSecond": "700.0",
           "holdMaxMillis": 10000, "graceSeconds": 6, "plannedHosts": 150, "bufferMebibytes": 24}
          """
              .formatted(
                  name, dataCentre, callerPort, readinessPort, peerPort, metricsPort, store.port()));
      ProcessBuilder builder =
          new ProcessBuilder("java", "@target/host/host.args", "dev.hornbeamwheel.host.HostMain");
      builder.environment().put("HORNBEAMWHEEL_CONFIG", settings.toString());
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      started.add(process);
    }

    /** Sends a signal, by its name, to the process. */
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns whether it says that it is ready. */
    boolean ready() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), readinessPort), 500);
        socket.setSoTimeout(1_000);
        String request = "GET /hornbeamwheel/readiness HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
        socket.getOutputStream().write(request.getBytes());
        Http.Message answer = Http.read(socket.getInputStream());
        return answer != null && answer.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Returns the lines of its log that contain a text. */
    List<String> logLines(String text) throws IOException {
      try (Stream<String> lines = Files.lines(log)) {
        return lines.filter(line -> line.contains(text)).toList();
      }
    }
  }

  final Store store = Store.start();
  final List<Host> hosts = new ArrayList<>();
  private final Path folder;
  private final List<Process> started = new CopyOnWriteArrayList<>();

  /** Creates a site of some hosts, which are not started yet. */
  Site(int hostCount) throws IOException {
    folder = Files.createTempDirectory("review-3-");
    // Ends the processes also if this one is told to end.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> started.forEach(Process::destroyForcibly)));
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host(i));
    }
  }

  /** Waits until all hosts are ready and one coordinates; returns that one. */
  Host awaitReady(long timeoutMillis) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (System.nanoTime() < endNanos) {
      String lease = store.document("hornbeamwheel-lease", "coordinator");
      if (!lease.isEmpty() && hosts.stream().allMatch(Host::ready)) {
        return hosts.stream()
            .filter(host -> lease.contains("\"" + host.name + "\""))
            .findFirst()
            .orElseThrow();
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException("the hosts were not ready in time");
  }

  @Override
  public void close() throws IOException {
    for (Process process : started) {
      process.destroyForcibly();
    }
    for (Process process : started) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    store.close();
    if (System.getenv("KEEP_LOGS") == null) {
      try (Stream<Path> files = Files.list(folder)) {
        files.forEach(file -> file.toFile().delete());
      }
      Files.delete(folder);
    } else {
      System.out.println("logs in " + folder);
    }
  }

  /** Returns a free port below those that the system hands out by itself. */
  private static int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
      if (!TAKEN_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // The port is in use; the next one is tried.
      }
    }
  }
}
