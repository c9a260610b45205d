package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.SliceGrant;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.standins.faults.Fault;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** All upstreams of some declarations, in one process. */
public final class UpstreamStandins implements AutoCloseable {
  private static final int IO_THREADS = 4;
  private static final int WORKER_THREADS = 32;
  private static final int TIMER_THREADS = 4;

  private final XnioWorker worker;
  private final ScheduledExecutorService timer;
  private final RunLog runs;
  private final CrashMarker crashMarker = new CrashMarker();
  private final Map<UpstreamId, UpstreamStandin> upstreams = new ConcurrentHashMap<>();

  private UpstreamStandins(XnioWorker worker, ScheduledExecutorService timer, RunLog runs) {
    this.worker = worker;
    this.timer = timer;
    this.runs = runs;
  }

  /**
   * Starts one upstream for each declared one, at its declared address.
   *
   * @throws RuntimeException if an address cannot be listened on
   */
  public static UpstreamStandins start(
      Declarations declarations, UpstreamSettings settings, Clock clock) {
    UpstreamStandins all =
        new UpstreamStandins(
            createWorker(), Executors.newScheduledThreadPool(TIMER_THREADS), new RunLog());
    UpstreamProcess.Environment environment =
        new UpstreamProcess.Environment(clock, all.timer, all.runs);
    Map<ServiceId, Service> services =
        declarations.services().stream()
            .collect(Collectors.toMap(Service::id, Function.identity()));
    try {
      declarations
          .upstreams()
          .forEach(
              upstream ->
                  all.add(upstream, services.get(upstream.service()), settings, environment));
    } catch (RuntimeException e) {
      all.close();
      throw e;
    }
    return all;
  }

  /** Returns the runs of all upstreams. */
  public RunLog runs() {
    return runs;
  }

  /** Returns the address of an upstream; empty if there is no such upstream. */
  public Optional<InetSocketAddress> address(UpstreamId upstream) {
    return Optional.ofNullable(upstreams.get(upstream)).map(UpstreamStandin::address);
  }

  /**
   * Puts a fault in force.
   *
   * @throws IllegalArgumentException if it names an unknown upstream
   */
  public void apply(Fault.OfUpstream fault) {
    if (fault instanceof Fault.CrashOn crash) {
      crashMarker.set(crash.marker(), crash.restartAfterMillis());
    } else {
      applyToOne((Fault.OfOneUpstream) fault);
    }
  }

  private void applyToOne(Fault.OfOneUpstream fault) {
    UpstreamStandin upstream = upstreams.get(fault.upstream());
    if (upstream == null) {
      throw new IllegalArgumentException("no upstream " + fault.upstream() + " stands here");
    }
    upstream.apply(fault);
  }

  @Override
  public void close() {
    upstreams.values().forEach(UpstreamStandin::stop);
    timer.shutdownNow();
    worker.shutdownNow();
  }

  private void add(
      Upstream declared,
      Service service,
      UpstreamSettings settings,
      UpstreamProcess.Environment environment) {
    UpstreamStandin upstream =
        new UpstreamStandin(
            declared,
            service,
            settings,
            environment,
            worker,
            parse(declared.address()),
            crashMarker,
            this::watch);
    upstream.start(settings.warm());
    upstreams.put(declared.id(), upstream);
  }

  /** Notes each slice that was granted while another upstream still held it. */
  private void watch(UpstreamStandin granted, UpstreamStandin.Accepted accepted) {
    IntStream.range(0, accepted.orders().size())
        .filter(i -> accepted.replies().get(i).outcome() == UpstreamReply.Outcome.DONE)
        .mapToObj(accepted.orders()::get)
        .filter(UpstreamOrder.Replace.class::isInstance)
        .map(UpstreamOrder.Replace.class::cast)
        .flatMap(replace -> replace.grants().stream())
        .forEach(grant -> watch(granted, grant));
  }

  private void watch(UpstreamStandin granted, SliceGrant grant) {
    upstreams.values().stream()
        .filter(other -> other != granted)
        .filter(other -> other.declared().service().equals(granted.declared().service()))
        .filter(other -> other.holds(grant.slice()))
        .forEach(
            other ->
                runs.addDoubleHolding(
                    grant.slice()
                        + " granted to "
                        + granted.declared().id()
                        + " while held by "
                        + other.declared().id()));
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static XnioWorker createWorker() {
    try {
      return Xnio.getInstance()
          .createWorker(
              OptionMap.builder()
                  .set(Options.WORKER_IO_THREADS, IO_THREADS)
                  .set(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
                  .set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
                  .set(Options.TCP_NODELAY, true)
                  .getMap());
    } catch (IOException e) {
      throw new UncheckedIOException("no worker threads for the upstreams", e);
    }
  }
}
