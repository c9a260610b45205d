package dev.hornbeamwheel.router;

import dagger.Module;
import dagger.Provides;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.node.NodeIdentity;
import dev.hornbeamwheel.core.node.RouterNode;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.http.HttpPlatform;
import dev.hornbeamwheel.platform.store.ConfigurationStore;
import dev.hornbeamwheel.router.admission.AdmittingReducer;
import dev.hornbeamwheel.router.admission.RouterEffect;
import dev.hornbeamwheel.router.flow.RequestsInFlight;
import dev.hornbeamwheel.router.upstream.OkHttpUpstreamClient;
import dev.hornbeamwheel.router.upstream.UpstreamClient;
import dev.hornbeamwheel.runtime.logging.DecisionLog;
import dev.hornbeamwheel.runtime.loop.EventLoop;
import dev.hornbeamwheel.runtime.member.InboxListener;
import dev.hornbeamwheel.runtime.member.MemberIo;
import dev.hornbeamwheel.runtime.member.MemberItemCodec;
import dev.hornbeamwheel.runtime.member.NodeInbox;
import dev.hornbeamwheel.runtime.member.PlatformReads;
import dev.hornbeamwheel.runtime.member.SocketAddresses;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import dev.hornbeamwheel.runtime.operator.Readiness;
import dev.hornbeamwheel.wire.NettyPeerTransport;
import dev.hornbeamwheel.wire.PeerTransport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;
import javax.inject.Singleton;

/** How the parts of the router are made. */
@Module
final class RouterModule {
  /** Longest time that one request to the platform may take. */
  private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(1_500);

  private RouterModule() {}

  @Provides
  @Singleton
  static Clock clock() {
    return Clock.monotonic();
  }

  @Provides
  @Singleton
  static Metrics metrics() {
    return Metrics.ofProcess();
  }

  @Provides
  @Singleton
  static RouterMetrics routerMetrics(Metrics metrics) {
    return RouterMetrics.in(metrics);
  }

  @Provides
  @Singleton
  static Readiness readiness() {
    return Readiness.off();
  }

  @Provides
  @Singleton
  static NodeIdentity identity(RouterSettings settings) {
    SecureRandom random = new SecureRandom();
    return new NodeIdentity(
        settings.member(),
        Incarnation.of(random.nextLong() >>> 1),
        settings.dataCentre(),
        SocketAddresses.format(settings.peerAddress()),
        random.nextLong());
  }

  @Provides
  @Singleton
  static RouterNode node(NodeIdentity identity) {
    return RouterNode.create(identity, MemberItemCodec.create());
  }

  @Provides
  @Singleton
  static EventLoop<NodeEvent, RouterEffect> loop(RouterNode node, Clock clock) {
    return EventLoop.create("router", AdmittingReducer.of(node), clock);
  }

  @Provides
  @Singleton
  static NodeInbox inbox(EventLoop<NodeEvent, RouterEffect> loop) {
    return loop::post;
  }

  @Provides
  @Singleton
  static HttpPlatform platform(RouterSettings settings) {
    return HttpPlatform.create(settings.platform(), PLATFORM_TIMEOUT);
  }

  @Provides
  @Singleton
  static PeerTransport transport(RouterSettings settings, NodeIdentity identity, NodeInbox inbox) {
    try {
      return NettyPeerTransport.listen(
          settings.peerAddress(),
          identity.member(),
          identity.incarnation(),
          InboxListener.to(inbox));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Provides
  @Singleton
  static MemberIo io(
      RouterSettings settings, HttpPlatform platform, PeerTransport transport, NodeInbox inbox) {
    ConfigurationStore configurations =
        ConfigurationStore.of(platform.table(), platform.objectStore());
    PlatformReads reads =
        PlatformReads.create(platform.table(), configurations, platform.hostList(), inbox);
    return MemberIo.create(transport, reads, DecisionLog.sampling(settings.decisionLogOneIn()));
  }

  @Provides
  @Singleton
  static UpstreamClient upstreams(RouterSettings settings) {
    return OkHttpUpstreamClient.create(Executors.newCachedThreadPool(), settings.maxInFlight());
  }

  @Provides
  @Singleton
  static RequestsInFlight flow(UpstreamClient upstreams, NodeInbox inbox, Clock clock) {
    return RequestsInFlight.create(
        upstreams, event -> inbox.post(now -> new NodeEvent.Routing(event.apply(now))), clock);
  }

  @Provides
  @Singleton
  static ContractsInForce directory() {
    return new ContractsInForce(new AtomicReference<>(ContractsInForce.EMPTY));
  }

  @Provides
  @Singleton
  static RouterPerformer performer(
      MemberIo io, RequestsInFlight flow, RouterMetrics metrics, ContractsInForce directory) {
    return new RouterPerformer(io, flow, metrics, directory.reference()::set);
  }
}
