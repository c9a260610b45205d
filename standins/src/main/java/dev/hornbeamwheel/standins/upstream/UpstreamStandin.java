package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.standins.faults.Fault;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** One upstream on a port of its own, which may crash and start anew. */
final class UpstreamStandin {
  private final Upstream declared;
  private final Service service;
  private final UpstreamSettings settings;
  private final UpstreamProcess.Environment environment;
  private final XnioWorker worker;
  private final InetSocketAddress address;
  private final CrashMarker crashMarker;
  private final BiConsumer<UpstreamStandin, Accepted> observer;
  private final FreezeGate gate = new FreezeGate();
  private final AnswerFaults answerFaults = new AnswerFaults();
  private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile Fault.Health health = Fault.Health.HONEST;
  private volatile UpstreamProcess process;
  private Undertow server;

  UpstreamStandin(
      Upstream declared,
      Service service,
      UpstreamSettings settings,
      UpstreamProcess.Environment environment,
      XnioWorker worker,
      InetSocketAddress address,
      CrashMarker crashMarker,
      BiConsumer<UpstreamStandin, Accepted> observer) {
    this.declared = declared;
    this.service = service;
    this.settings = settings;
    this.environment = environment;
    this.worker = worker;
    this.address = address;
    this.crashMarker = crashMarker;
    this.observer = observer;
  }

  /** Orders that an upstream took, with its replies. */
  record Accepted(List<UpstreamOrder> orders, List<UpstreamReply> replies) {}

  Upstream declared() {
    return declared;
  }

  /** Returns the address that it listens on. */
  synchronized InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  boolean holds(Slice slice) {
    return process.holds(slice);
  }

  synchronized void start(boolean warm) {
    Incarnation incarnation = Incarnation.of(ThreadLocalRandom.current().nextLong());
    process =
        new UpstreamProcess(declared, service, incarnation, settings, warm, environment, gate);
    server =
        Undertow.builder()
            .setWorker(worker)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, declared.connections())
            .setSocketOption(Options.CONNECTION_LOW_WATER, declared.connections())
            .addHttpListener(
                address.getPort(), address.getAddress().getHostAddress(), handler(process))
            .build();
    server.start();
  }

  synchronized void stop() {
    if (server != null) {
      server.stop();
      server = null;
      connections.forEach(IoUtils::safeClose);
    }
  }

  void apply(Fault.OfUpstream fault) {
    if (fault instanceof Fault.Freeze) {
      gate.freeze();
    } else if (fault instanceof Fault.Thaw) {
      gate.thaw();
    } else if (fault instanceof Fault.Crash crash) {
      crash(crash.restartAfterMillis());
    } else if (fault instanceof Fault.Slow slow) {
      process.slow(slow.factor(), slow.forMillis());
    } else if (fault instanceof Fault.Drain) {
      process.drain(true);
    } else if (fault instanceof Fault.Return) {
      process.drain(false);
    } else if (fault instanceof Fault.TurnCold) {
      process.turnCold();
    } else if (fault instanceof Fault.DisturbAnswers disturb) {
      answerFaults.set(disturb);
    } else if (fault instanceof Fault.PretendHealth pretend) {
      health = pretend.state();
    }
  }

  private void crash(long restartAfterMillis) {
    process.end();
    environment
        .timer()
        .execute(
            () -> {
              stop();
              gate.thaw();
              var unused =
                  environment
                      .timer()
                      .schedule(() -> start(false), restartAfterMillis, TimeUnit.MILLISECONDS);
            });
  }

  private HttpHandler handler(UpstreamProcess current) {
    Predicate<String> crashes =
        path -> {
          boolean marked = crashMarker.matches(path);
          if (marked) {
            environment.timer().execute(() -> crash(crashMarker.restartAfterMillis()));
          }
          return marked;
        };
    HttpHandler requests =
        new UpstreamHandler(declared, settings, current, gate, answerFaults, crashes, environment);
    HttpHandler all =
        new ControlHandlers(
                current,
                gate,
                () -> health,
                (orders, replies) -> observer.accept(this, new Accepted(orders, replies)))
            .before(requests);
    return exchange -> {
      track(exchange);
      all.handleRequest(exchange);
    };
  }

  private void track(HttpServerExchange exchange) {
    ServerConnection connection = exchange.getConnection();
    if (connections.add(connection)) {
      connection.addCloseListener(connections::remove);
    }
  }
}
