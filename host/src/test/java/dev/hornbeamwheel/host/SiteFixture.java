package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin;
import dev.hornbeamwheel.standins.site.StoreStandin;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** A store, three keyed and two pooled upstreams, and entry hosts, on the loopback address. */
final class SiteFixture implements AutoCloseable {
  static final String CONFIGURATION =
      """
      {"version":"r7","routes":[
        {"name":"lookup","host":"127.0.0.1","prefix":"/lookup/","kind":"safe","timeout_ms":1200,
         "target_latency_ms":600,"priority":2,"service":"ledger","max_attempts":2},
        {"name":"order","host":"127.0.0.1","prefix":"/order/","kind":"unsafe","timeout_ms":1500,
         "target_latency_ms":800,"priority":1,"service":"desk","max_attempts":2}],
       "services":[
        {"name":"ledger","health_check_path":"/health","connection_limit":295,"protocol":"h1",
         "cold_start_s":3.0,"cold_per_s":2.6,"sharded":true,"warm_up_s":3.0,"grants":"call"},
        {"name":"desk","health_check_path":"/health","connection_limit":295,"protocol":"h1",
         "cold_start_s":3.0,"cold_per_s":2.6}],
       "limits":{"header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}""";

  private static final String SHARD_KEY = "X-Hornbeamwheel-Shard-Key";
  private static final String[] DATA_CENTRES = {"quimper", "morlaix", "vannes"};
  private static final int HOLD_MAX_MILLIS = 10_000;
  private static final int GRACE_MILLIS = 1_000;

  final StoreStandin store = StoreStandin.start(0);
  final List<KeyedUpstreamStandin> ledger = new ArrayList<>();
  final List<KeyedUpstreamStandin> desk = new ArrayList<>();
  private final List<HostServer> hosts = new ArrayList<>();
  private final List<HostSettings> settings = new ArrayList<>();
  private final HttpClient http = HttpClient.newHttpClient();

  SiteFixture(int hostCount) throws IOException {
    store.put("op", "config", CONFIGURATION);
    for (int i = 0; i < 3; i++) {
      ledger.add(add("ledger", i, true));
    }
    for (int i = 0; i < 2; i++) {
      desk.add(add("desk", i, false));
    }
    for (int i = 0; i < hostCount; i++) {
      startHost(i);
    }
  }

  private KeyedUpstreamStandin add(String service, int place, boolean keyed) {
    String id = "i-" + service + "-" + place;
    KeyedUpstreamStandin upstream = KeyedUpstreamStandin.start(id, keyed);
    store.put("servers", id, upstream.registration(service, DATA_CENTRES[place], false));
    return upstream;
  }

  /** Returns the settings file of a second host, which another process is to run. */
  String secondHostSettings() throws IOException {
    HostSettings own = newSettings(1);
    settings.add(own);
    return """
        {"host":"host-1","dataCentre":"%s","callerAddress":"%s","readinessAddress":"%s",
         "peerAddress":"%s","metricsAddress":"%s","storeAddress":"%s",
         "holdMaxMillis":%d,"graceSeconds":1}"""
        .formatted(
            own.dataCentre(),
            own.callerAddress(),
            own.readinessAddress(),
            own.peerAddress(),
            own.metricsAddress(),
            own.storeAddress(),
            own.holdMaxMillis());
  }

  private void startHost(int place) throws IOException {
    HostSettings own = newSettings(place);
    HostServer server = DaggerHostComponent.factory().create(own).server();
    server.start();
    settings.add(own);
    hosts.add(server);
  }

  private HostSettings newSettings(int place) throws IOException {
    return new HostSettings(
        HostId.of("host-" + place),
        DataCentreId.of(DATA_CENTRES[place % DATA_CENTRES.length]),
        freeAddress(),
        freeAddress(),
        freeAddress(),
        freeAddress(),
        new Address("127.0.0.1", store.port()),
        HOLD_MAX_MILLIS,
        GRACE_MILLIS);
  }

  HostServer host(int place) {
    return hosts.get(place);
  }

  HttpResponse<String> lookup(int host, int key) throws IOException, InterruptedException {
    return send(request(host, "/lookup/" + key).header(SHARD_KEY, Integer.toString(key)).GET());
  }

  HttpResponse<String> order(int host) throws IOException, InterruptedException {
    return send(
        request(host, "/order/1").POST(HttpRequest.BodyPublishers.ofString("two roll bars")));
  }

  HttpResponse<String> unrouted(int host) throws IOException, InterruptedException {
    return send(request(host, "/elsewhere/").GET());
  }

  HttpResponse<String> page(Address address, String path) throws IOException, InterruptedException {
    return http.send(
        HttpRequest.newBuilder(URI.create("http://" + address + path)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  HostSettings settings(int host) {
    return settings.get(host);
  }

  /** Waits until a host serves keyed requests; returns whether it does within a time. */
  boolean awaitServing(int host, Duration limit) throws IOException, InterruptedException {
    long until = System.nanoTime() + limit.toNanos();
    while (System.nanoTime() < until) {
      if (lookup(host, 17).statusCode() == 200 && order(host).statusCode() == 200) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  private HttpRequest.Builder request(int host, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + settings.get(host).callerAddress() + path))
        .header("X-Hornbeamwheel-Request-Attempt-Id", UUID.randomUUID().toString())
        .header("X-Hornbeamwheel-Deadline-Milliseconds", "2500");
  }

  private HttpResponse<String> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static Address freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new Address("127.0.0.1", socket.getLocalPort());
    }
  }

  @Override
  public void close() {
    hosts.parallelStream().forEach(HostServer::stop);
    ledger.forEach(KeyedUpstreamStandin::close);
    desk.forEach(KeyedUpstreamStandin::close);
    store.close();
  }
}
