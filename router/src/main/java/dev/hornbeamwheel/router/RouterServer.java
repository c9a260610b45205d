package dev.hornbeamwheel.router;

import dev.hornbeamwheel.core.membership.Member;
import dev.hornbeamwheel.core.membership.MemberState;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.node.NodeIdentity;
import dev.hornbeamwheel.core.node.RouterNode;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import dev.hornbeamwheel.platform.http.HttpPlatform;
import dev.hornbeamwheel.router.admission.RouterEffect;
import dev.hornbeamwheel.router.flow.RequestsInFlight;
import dev.hornbeamwheel.router.http.CallerExchange;
import dev.hornbeamwheel.router.http.CallerHandler;
import dev.hornbeamwheel.router.http.CallerRequest;
import dev.hornbeamwheel.runtime.cli.RunningProgram;
import dev.hornbeamwheel.runtime.loop.EventLoop;
import dev.hornbeamwheel.runtime.member.NodeMetrics;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import dev.hornbeamwheel.runtime.operator.OperatorServer;
import dev.hornbeamwheel.runtime.operator.Readiness;
import dev.hornbeamwheel.wire.PeerTransport;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.handlers.GracefulShutdownHandler;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import javax.inject.Inject;
import javax.inject.Singleton;

/** A running router. */
@Singleton
final class RouterServer implements RunningProgram {
  /** Header bytes beyond which the server itself refuses a request. */
  private static final int MAX_HEADER_BYTES = 65_536;

  /** Time that readiness is off before new work is refused, in milliseconds. */
  private static final long BALANCER_MILLIS = 1_000;

  /** Longest time that requests in flight are waited for, in seconds. */
  private static final long DRAIN_SECONDS = 60;

  /** Longest time that a start waits for other members, in milliseconds. */
  private static final long PEERS_MILLIS = 3_000;

  private static final long POLL_MILLIS = 50;

  /** Time for the last messages to other members, in milliseconds. */
  private static final long LEAVE_MILLIS = 200;

  private final RouterSettings settings;
  private final NodeIdentity identity;
  private final RouterNode node;
  private final EventLoop<NodeEvent, RouterEffect> loop;
  private final RouterPerformer performer;
  private final RequestsInFlight flow;
  private final PeerTransport transport;
  private final HttpPlatform platform;
  private final Readiness readiness;
  private final Metrics metrics;
  private final GracefulShutdownHandler callers;
  private final AtomicLong requests = new AtomicLong();
  private volatile boolean stopping;
  private Undertow callerServer;
  private OperatorServer operatorServer;

  @Inject
  RouterServer(
      RouterSettings settings,
      NodeIdentity identity,
      RouterNode node,
      EventLoop<NodeEvent, RouterEffect> loop,
      RouterPerformer performer,
      RequestsInFlight flow,
      PeerTransport transport,
      HttpPlatform platform,
      Readiness readiness,
      Metrics metrics,
      ContractsInForce directory) {
    this.settings = settings;
    this.identity = identity;
    this.node = node;
    this.loop = loop;
    this.performer = performer;
    this.flow = flow;
    this.transport = transport;
    this.platform = platform;
    this.readiness = readiness;
    this.metrics = metrics;
    this.callers =
        new GracefulShutdownHandler(
            CallerHandler.create(
                this::newRequestId,
                directory.reference()::get,
                () -> stopping,
                settings.maxBodyBytes(),
                this::accept));
  }

  /** Starts to serve; throws a {@link RuntimeException} if an address cannot be listened on. */
  void start() {
    NodeMetrics.register(metrics, loop);
    NodeMetrics.register(metrics, transport.counters());
    metrics.gauge("hornbeamwheel_requests_in_flight", "Requests that callers wait for", flow::size);
    loop.start(performer, NodeEvent.Tick::new);
    operatorServer =
        OperatorServer.start(
            settings.operatorAddress(),
            new OperatorServer.Pages(metrics, readiness, loop::alive, this::status));
    callerServer =
        Undertow.builder()
            .addHttpListener(
                settings.callerAddress().getPort(),
                settings.callerAddress().getAddress().getHostAddress())
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .setHandler(callers)
            .build();
    callerServer.start();
    awaitPeers();
    readiness.ready();
  }

  @Override
  public void stop() {
    readiness.stopping();
    pause(BALANCER_MILLIS);
    stopping = true;
    loop.post(NodeEvent.Stopping::new);
    awaitRequests();
    loop.post(NodeEvent.Leaving::new);
    pause(LEAVE_MILLIS);
    callerServer.stop();
    loop.close();
    transport.close();
    platform.close();
    operatorServer.close();
  }

  /** Waits for news of other members, which may know of quarantined requests. */
  private void awaitPeers() {
    for (long waited = 0; waited < PEERS_MILLIS && presentMembers() < 2; waited += POLL_MILLIS) {
      pause(POLL_MILLIS);
    }
  }

  private long presentMembers() {
    return loop.query(this::countPresent).join();
  }

  private long countPresent() {
    return node.members().stream().map(Member::state).filter(MemberState::present).count();
  }

  private void awaitRequests() {
    try {
      performer.stopped().get(DRAIN_SECONDS, TimeUnit.SECONDS);
      callers.shutdown();
      callers.awaitShutdown(TimeUnit.SECONDS.toMillis(DRAIN_SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      System.getLogger(RouterServer.class.getName())
          .log(System.Logger.Level.WARNING, "requests still in flight at the end of the drain");
    }
  }

  private void accept(CallerExchange caller) {
    CallerRequest request = caller.request();
    long fingerprint = Fingerprints.of(caller);
    loop.post(
        now -> {
          flow.admit(caller);
          return new NodeEvent.Routing(arrived(now, request, fingerprint));
        });
  }

  private static RoutingEvent.RequestArrived arrived(
      long now, CallerRequest request, long fingerprint) {
    return new RoutingEvent.RequestArrived(
        now,
        request.id(),
        request.contract(),
        request.service().id(),
        request.key().orElse(null),
        request.idempotent(),
        request.idempotencyKey().orElse(null),
        fingerprint,
        now + request.timeoutMillis());
  }

  private RequestId newRequestId() {
    return RequestId.of(
        identity.member().value().replace('/', '.')
            + "."
            + Long.toString(identity.incarnation().value(), Character.MAX_RADIX)
            + "."
            + requests.incrementAndGet());
  }

  private RouterStatus status() {
    return loop.query(
            () ->
                new RouterStatus(
                    identity.member().value(),
                    "router",
                    node.configuration().version(),
                    flow.size(),
                    countPresent()))
        .join();
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
