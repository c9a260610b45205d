package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.standins.site.FaultyUpstreamStandin;
import dev.hornbeamwheel.standins.site.FloodingStandin;
import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin;
import dev.hornbeamwheel.standins.site.SiteCaller;
import dev.hornbeamwheel.standins.site.StoreStandin;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

/** A store, three keyed and two pooled upstreams, and entry hosts, on the loopback address. */
final class SiteFixture implements AutoCloseable {
  private static final String[] DATA_CENTRES = {"quimper", "morlaix", "vannes"};
  private static final int HOLD_MAX_MILLIS = 10_000;
  private static final long DEFAULT_GRACE_MILLIS = 1_000;

  final StoreStandin store = StoreStandin.start(0);
  final List<KeyedUpstreamStandin> keyedUpstreams = new ArrayList<>();
  final List<KeyedUpstreamStandin> pooledUpstreams = new ArrayList<>();
  private final List<HostServer> hosts = new ArrayList<>();
  private final List<HostServer> stoppedHosts = new CopyOnWriteArrayList<>();
  private final List<HostSettings> settings = new ArrayList<>();
  private final SiteCaller caller = SiteCaller.create();
  private final long graceMillis;

  SiteFixture(int hostCount) throws IOException {
    this(hostCount, DEFAULT_GRACE_MILLIS);
  }

  /** Starts a site whose hosts may take so long to stop, in milliseconds. */
  SiteFixture(int hostCount, long graceMillis) throws IOException {
    this.graceMillis = graceMillis;
    store.put("op", "config", SiteCaller.CONFIGURATION);
    for (int i = 0; i < 3; i++) {
      keyedUpstreams.add(addUpstream("ledger", i, true));
    }
    for (int i = 0; i < 2; i++) {
      pooledUpstreams.add(addUpstream("desk", i, false));
    }
    for (int i = 0; i < hostCount; i++) {
      startHost(i);
    }
  }

  private KeyedUpstreamStandin addUpstream(String service, int place, boolean keyed) {
    String id = "i-" + service + "-" + place;
    KeyedUpstreamStandin upstream = KeyedUpstreamStandin.start(id, keyed);
    store.put("servers", id, upstream.registration(service, DATA_CENTRES[place], false));
    return upstream;
  }

  /** Puts one upstream with damaged answers in the place of the pooled ones. */
  FaultyUpstreamStandin replacePooledWithFaulty() throws IOException {
    FaultyUpstreamStandin upstream = FaultyUpstreamStandin.start();
    IntStream.range(0, pooledUpstreams.size()).forEach(this::drainPooledUpstream);
    store.put("servers", "i-desk-faulty", upstream.registration("desk", DATA_CENTRES[0]));
    return upstream;
  }

  /** Puts one upstream whose answers may not end in the place of the pooled ones. */
  FloodingStandin replacePooledWithFlooding(int slots) throws IOException {
    IntStream.range(0, pooledUpstreams.size()).forEach(this::drainPooledUpstream);
    return addFloodingUpstream("desk", slots);
  }

  /** Adds an upstream whose answers may not end. */
  FloodingStandin addFloodingUpstream(String service, int slots) throws IOException {
    FloodingStandin upstream = FloodingStandin.start();
    store.put(
        "servers",
        "i-" + service + "-flooding",
        upstream.registration(service, DATA_CENTRES[0], slots));
    return upstream;
  }

  /** Lets one of the pooled upstreams say that it leaves. */
  void drainPooledUpstream(int place) {
    store.put(
        "servers",
        "i-desk-" + place,
        pooledUpstreams.get(place).registration("desk", DATA_CENTRES[place], true));
  }

  /** Returns how many orders the pooled upstreams have run. */
  int orderRuns() {
    return pooledUpstreams.stream().mapToInt(KeyedUpstreamStandin::runs).sum();
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
        HostCapacity.unknown(),
        graceMillis);
  }

  /** Stops a host as a signal does, and returns once it has ended. */
  void stopHost(int place) {
    HostServer stopping = hosts.get(place);
    stopping.stop();
    stoppedHosts.add(stopping);
  }

  HostServer host(int place) {
    return hosts.get(place);
  }

  HttpResponse<String> lookup(int host, int key) throws IOException, InterruptedException {
    return caller.lookup(address(host), key);
  }

  HttpResponse<String> order(int host) throws IOException, InterruptedException {
    return caller.order(address(host));
  }

  HttpResponse<String> getUnknownPath(int host) throws IOException, InterruptedException {
    return caller.get(address(host), "/elsewhere/");
  }

  HttpResponse<String> get(Address address, String path) throws IOException, InterruptedException {
    return caller.get(address.toString(), path);
  }

  private String address(int host) {
    return settings.get(host).callerAddress().toString();
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

  private static Address freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new Address("127.0.0.1", socket.getLocalPort());
    }
  }

  @Override
  public void close() {
    hosts.parallelStream().filter(host -> !stoppedHosts.contains(host)).forEach(HostServer::stop);
    keyedUpstreams.forEach(KeyedUpstreamStandin::close);
    pooledUpstreams.forEach(KeyedUpstreamStandin::close);
    store.close();
  }
}
