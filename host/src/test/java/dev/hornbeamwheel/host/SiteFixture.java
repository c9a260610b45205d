package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.buffers.BufferLimits;
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
import java.net.BindException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** Runs a store, three keyed and two pooled upstreams, and entry hosts on the loopback address. */
final class SiteFixture implements AutoCloseable {
  /** Next port to try; different processes begin at different ones. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(20_000, 30_000));

  private static final String[] DATA_CENTRES = {"quimper", "morlaix", "vannes"};
  private static final int HOLD_MAX_MILLIS = 10_000;
  private static final long DEFAULT_GRACE_MILLIS = 1_000;

  final StoreStandin store = StoreStandin.start(0);

  /** The upstreams of the keyed service {@code ledger}. */
  final List<KeyedUpstreamStandin> ledger = new ArrayList<>();

  /** The upstreams of the pooled service {@code desk}. */
  final List<KeyedUpstreamStandin> desk = new ArrayList<>();

  private final List<HostServer> hosts = new ArrayList<>();
  private final List<HostServer> stoppedHosts = new CopyOnWriteArrayList<>();
  private final List<HostSettings> settings = new ArrayList<>();
  private SiteCaller caller = SiteCaller.create();
  private final long graceMillis;
  private final BufferLimits bufferLimits;

  SiteFixture(int hostCount) throws IOException {
    this(hostCount, DEFAULT_GRACE_MILLIS);
  }

  /** Starts a site whose hosts must stop within {@code graceMillis}. */
  SiteFixture(int hostCount, long graceMillis) throws IOException {
    this(hostCount, graceMillis, BufferLimits.unlimited());
  }

  /** Starts a site whose hosts bound what they buffer for callers. */
  SiteFixture(int hostCount, BufferLimits bufferLimits) throws IOException {
    this(hostCount, DEFAULT_GRACE_MILLIS, bufferLimits);
  }

  private SiteFixture(int hostCount, long graceMillis, BufferLimits bufferLimits)
      throws IOException {
    this.graceMillis = graceMillis;
    this.bufferLimits = bufferLimits;
    store.put("op", "config", SiteCaller.CONFIGURATION);
    for (int i = 0; i < 3; i++) {
      ledger.add(addUpstream("ledger", i, true));
    }
    for (int i = 0; i < 2; i++) {
      desk.add(addUpstream("desk", i, false));
    }
    for (int i = 0; i < hostCount; i++) {
      startHost(i);
    }
  }

  private KeyedUpstreamStandin addUpstream(String service, int index, boolean keyed) {
    String id = "i-" + service + "-" + index;
    KeyedUpstreamStandin upstream = KeyedUpstreamStandin.start(id, keyed);
    store.put("servers", id, upstream.registration(service, DATA_CENTRES[index], false));
    return upstream;
  }

  /** Replaces the pooled upstreams by one that damages its responses. */
  FaultyUpstreamStandin replacePooledWithFaulty() throws IOException {
    FaultyUpstreamStandin upstream = FaultyUpstreamStandin.start();
    IntStream.range(0, desk.size()).forEach(this::drainPooledUpstream);
    store.put("servers", "i-desk-faulty", upstream.registration("desk", DATA_CENTRES[0]));
    return upstream;
  }

  /** Replaces the pooled upstreams by one that can send endless responses. */
  FloodingStandin replacePooledWithFlooding(int slots) throws IOException {
    IntStream.range(0, desk.size()).forEach(this::drainPooledUpstream);
    return addFloodingUpstream("desk", slots);
  }

  /** Adds an upstream that can send endless responses. */
  FloodingStandin addFloodingUpstream(String service, int slots) throws IOException {
    FloodingStandin upstream = FloodingStandin.start();
    store.put(
        "servers",
        "i-" + service + "-flooding",
        upstream.registration(service, DATA_CENTRES[0], slots));
    return upstream;
  }

  /** Gives all requests a longer time limit, for tests whose load slows down the machine. */
  void extendTimeLimits(Duration limit) {
    store.put("op", "config", SiteCaller.configuration(limit));
    caller = SiteCaller.create(limit);
  }

  /** Changes the registration of a pooled upstream to draining. */
  void drainPooledUpstream(int index) {
    store.put(
        "servers",
        "i-desk-" + index,
        desk.get(index).registration("desk", DATA_CENTRES[index], true));
  }

  /** Returns the number of orders that the pooled upstreams have run. */
  int orderRuns() {
    return desk.stream().mapToInt(KeyedUpstreamStandin::runs).sum();
  }

  /** Returns the settings, as JSON, of a second host, to be run in a separate process. */
  String secondHostSettings() throws IOException {
    HostSettings hostSettings = newSettings(1);
    settings.add(hostSettings);
    return """
        {"host":"host-1","dataCentre":"%s","callerAddress":"%s","readinessAddress":"%s",
         "peerAddress":"%s","metricsAddress":"%s","storeAddress":"%s",
         "holdMaxMillis":%d,"graceSeconds":1}"""
        .formatted(
            hostSettings.dataCentre(),
            hostSettings.callerAddress(),
            hostSettings.readinessAddress(),
            hostSettings.peerAddress(),
            hostSettings.metricsAddress(),
            hostSettings.storeAddress(),
            hostSettings.holdMaxMillis());
  }

  private void startHost(int index) throws IOException {
    HostSettings hostSettings = newSettings(index);
    HostServer server = DaggerHostComponent.factory().create(hostSettings).server();
    server.start();
    settings.add(hostSettings);
    hosts.add(server);
  }

  private HostSettings newSettings(int index) throws IOException {
    return new HostSettings(
        HostId.of("host-" + index),
        DataCentreId.of(DATA_CENTRES[index % DATA_CENTRES.length]),
        freeAddress(),
        freeAddress(),
        freeAddress(),
        freeAddress(),
        new Address("127.0.0.1", store.port()),
        HOLD_MAX_MILLIS,
        HostCapacity.unknown(),
        graceMillis,
        0,
        0,
        bufferLimits);
  }

  /** Stops a host as the stop signal does, and returns once it has stopped. */
  void stopHost(int index) {
    HostServer stopping = hosts.get(index);
    stopping.stop();
    stoppedHosts.add(stopping);
  }

  HostServer host(int index) {
    return hosts.get(index);
  }

  /** Returns the index of the host that the lease row names. */
  int coordinator() {
    String row = store.document("hornbeamwheel-lease", "coordinator").orElseThrow();
    return IntStream.range(0, settings.size())
        .filter(i -> row.contains("\"" + settings.get(i).host().value() + "\""))
        .findFirst()
        .orElseThrow();
  }

  HttpResponse<String> lookup(int host, int key) throws IOException, InterruptedException {
    return caller.lookup(address(host), key);
  }

  HttpResponse<String> order(int host) throws IOException, InterruptedException {
    return caller.order(address(host));
  }

  HttpResponse<String> order(int host, String apiKey) throws IOException, InterruptedException {
    return caller.order(address(host), apiKey);
  }

  HttpResponse<String> getUnknownPath(int host) throws IOException, InterruptedException {
    return caller.get(address(host), "/elsewhere/");
  }

  HttpResponse<String> get(int host, String path) throws IOException, InterruptedException {
    return caller.get(address(host), path);
  }

  HttpResponse<String> get(int host, String path, int key)
      throws IOException, InterruptedException {
    return caller.get(address(host), path, key);
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

  /** Waits until a host serves keyed and pooled requests; returns false on a timeout. */
  boolean awaitServing(int host, Duration timeout) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (System.nanoTime() < deadlineNanos) {
      if (serves(host)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  private boolean serves(int host) throws IOException, InterruptedException {
    try {
      return lookup(host, 17).statusCode() == 200 && order(host).statusCode() == 200;
    } catch (ConnectException e) {
      // A host in a process of its own does not listen yet.
      return false;
    }
  }

  /**
   * Returns an address at which a host can listen later. Its port is below those that the operating
   * system gives to outgoing connections, so that none of them takes it meanwhile.
   */
  private static Address freeAddress() throws IOException {
    while (true) {
      try (ServerSocket socket = new ServerSocket(NEXT_PORT.getAndIncrement())) {
        return new Address("127.0.0.1", socket.getLocalPort());
      } catch (BindException e) {
        // Another socket listens there.
      }
    }
  }

  @Override
  public void close() {
    hosts.parallelStream().filter(host -> !stoppedHosts.contains(host)).forEach(HostServer::stop);
    ledger.forEach(KeyedUpstreamStandin::close);
    desk.forEach(KeyedUpstreamStandin::close);
    store.close();
  }
}
