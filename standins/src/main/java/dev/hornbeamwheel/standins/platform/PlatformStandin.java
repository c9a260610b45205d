package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.standins.faults.Fault;
import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The platform in memory, reached through one or more entrances.
 *
 * <p>Each data centre may have an entrance of its own, so that a test can cut it off.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final int IO_THREADS = 2;
  private static final int WORKER_THREADS = 4;

  private final Undertow server;
  private final PlatformFaults faults;

  private PlatformStandin(Undertow server, PlatformFaults faults) {
    this.server = server;
    this.faults = faults;
  }

  /**
   * Starts to serve.
   *
   * @throws RuntimeException if an address cannot be listened on
   */
  public static PlatformStandin start(PlatformSettings settings, Clock clock) {
    LaggingHosts hosts = new LaggingHosts(clock, settings.hostListLagMillis(), settings.hosts());
    PlatformFaults faults = new PlatformFaults(hosts);
    HttpHandler paths = paths(settings, clock, hosts, faults);
    Undertow.Builder server =
        Undertow.builder().setIoThreads(IO_THREADS).setWorkerThreads(WORKER_THREADS);
    settings
        .entrances()
        .forEach(
            entrance ->
                server.addHttpListener(
                    entrance.address().getPort(),
                    entrance.address().getAddress().getHostAddress(),
                    new EntranceHandler(entrance.name(), faults, paths)));
    Undertow built = server.build();
    built.start();
    return new PlatformStandin(built, faults);
  }

  /** Puts a fault in force. */
  public void apply(Fault.OfPlatform fault) {
    faults.apply(fault);
  }

  /** Returns the addresses of the entrances, in the order of the settings. */
  public List<InetSocketAddress> addresses() {
    return server.getListenerInfo().stream()
        .map(listener -> (InetSocketAddress) listener.getAddress())
        .toList();
  }

  @Override
  public void close() {
    server.stop();
  }

  private static HttpHandler paths(
      PlatformSettings settings, Clock clock, LaggingHosts hosts, PlatformFaults faults) {
    HttpHandler table =
        new TableHandler(
            new TableStore(),
            new RateLimit(clock, settings.readsPerSecond()),
            new RateLimit(clock, settings.writesPerSecond()),
            faults);
    return new PathHandler(
            exchange -> Exchanges.problem(exchange, StatusCodes.NOT_FOUND, "no such path"))
        .addPrefixPath("/table/rows", table)
        .addPrefixPath("/objects", new ObjectsHandler())
        .addExactPath(
            "/hosts", exchange -> Exchanges.send(exchange, StatusCodes.OK, hosts.visible()));
  }
}
