package dev.hornbeamwheel.e2e;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** A small fleet of real processes on loopback, with stand-ins for the platform and upstreams. */
final class Fleet {
  /** Longest time until all processes are ready, in milliseconds. */
  private static final long START_MILLIS = 120_000;

  private static final long PAUSE_MILLIS = 100;
  private static final String STANDINS = "standins";
  private static final MediaType JSON = MediaType.get("application/json");

  private final FleetFiles files;
  private final OkHttpClient client = new OkHttpClient();
  private final Map<String, ProgramProcess> processes = new LinkedHashMap<>();

  private Fleet(FleetFiles files) {
    this.files = files;
  }

  /**
   * Starts a fleet, waits until it is ready and applies its declarations.
   *
   * @param directory takes settings, declarations and logs
   */
  static Fleet start(Path directory) throws IOException, InterruptedException {
    Fleet fleet = new Fleet(FleetFiles.write(directory));
    fleet.startProcess(STANDINS, "dev.hornbeamwheel.standins.StandinsMain");
    fleet.awaitReady("http://" + fleet.files.standinsOperator() + "/ready");
    for (FleetFiles.Host host : fleet.files.hosts()) {
      fleet.startRouter(host);
      fleet.startController(host);
    }
    for (FleetFiles.Host host : fleet.files.hosts()) {
      fleet.awaitReady("http://" + host.routerOperator() + "/ready");
      fleet.awaitReady("http://" + host.controllerOperator() + "/ready");
    }
    fleet.ctl("apply", fleet.files.declarations().toString());
    return fleet;
  }

  List<FleetFiles.Host> hosts() {
    return files.hosts();
  }

  /** Returns where an upstream of a drill listens. */
  String upstreamAddress(String upstream) {
    return files.upstreamAddress(upstream);
  }

  ProgramProcess process(String name) {
    return processes.get(name);
  }

  void startRouter(FleetFiles.Host host) throws IOException {
    startProcess(host.name() + "-router", "dev.hornbeamwheel.router.RouterMain");
  }

  void startController(FleetFiles.Host host) throws IOException {
    startProcess(host.name() + "-controller", "dev.hornbeamwheel.controller.ControllerMain");
  }

  /** Runs the operators' command and returns its exit status. */
  int ctl(String... arguments) throws IOException, InterruptedException {
    String[] all = new String[arguments.length + 2];
    all[0] = "--platform";
    all[1] = files.platform();
    System.arraycopy(arguments, 0, all, 2, arguments.length);
    return ProgramProcess.start("ctl", "dev.hornbeamwheel.ctl.CtlMain", files.log("ctl"), all)
        .await();
  }

  /** Orders a fault from the stand-ins. */
  void fault(String json) throws IOException {
    Request request =
        new Request.Builder()
            .url("http://" + files.standinsOperator() + "/faults")
            .post(RequestBody.create(json, JSON))
            .build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("the stand-ins refused the fault " + json);
      }
    }
  }

  /** Returns what the upstreams ran, as JSON. */
  String runs() throws IOException {
    return get("http://" + files.standinsOperator() + "/runs");
  }

  /** Returns counts of what the upstreams ran, as JSON. */
  String runsSummary() throws IOException {
    return get("http://" + files.standinsOperator() + "/runs/summary");
  }

  /** Stops everything and returns when it has ended. */
  void stop() throws InterruptedException {
    ProgramProcess standins = processes.remove(STANDINS);
    processes.values().forEach(ProgramProcess::terminate);
    for (ProgramProcess process : processes.values()) {
      process.awaitStop();
    }
    standins.kill();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private void startProcess(String name, String mainClass) throws IOException {
    ProgramProcess process =
        ProgramProcess.start(
            name, mainClass, files.log(name), "--settings", files.settings(name).toString());
    processes.put(name, process);
  }

  private String get(String url) throws IOException {
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      return response.body().string();
    }
  }

  private void awaitReady(String url) throws IOException, InterruptedException {
    for (long waited = 0; waited < START_MILLIS; waited += PAUSE_MILLIS) {
      if (answers(url)) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    throw new IOException("not ready: " + url);
  }

  private boolean answers(String url) {
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      return response.isSuccessful();
    } catch (IOException e) {
      return false;
    }
  }
}
