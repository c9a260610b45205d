package dev.hornbeamwheel.controller;

import dagger.Module;
import dagger.Provides;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.node.ControllerNode;
import dev.hornbeamwheel.core.node.NodeEffect;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.node.NodeIdentity;
import dev.hornbeamwheel.core.ownership.OwnershipOptions;
import dev.hornbeamwheel.core.placement.PlacementPolicies;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.store.ConfigurationStore;
import dev.hornbeamwheel.runtime.logging.DecisionLog;
import dev.hornbeamwheel.runtime.loop.EventLoop;
import dev.hornbeamwheel.runtime.member.InboxListener;
import dev.hornbeamwheel.runtime.member.MemberIo;
import dev.hornbeamwheel.runtime.member.MemberItemCodec;
import dev.hornbeamwheel.runtime.member.NodeInbox;
import dev.hornbeamwheel.runtime.member.PlatformErrors;
import dev.hornbeamwheel.runtime.member.PlatformReads;
import dev.hornbeamwheel.runtime.member.SocketAddresses;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import dev.hornbeamwheel.runtime.operator.Readiness;
import dev.hornbeamwheel.wire.NettyPeerTransport;
import dev.hornbeamwheel.wire.PeerTransport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import javax.inject.Singleton;

/** How the parts of the controller are made. */
@Module
final class ControllerModule {
  private ControllerModule() {}

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
  static Readiness readiness() {
    return Readiness.off();
  }

  @Provides
  @Singleton
  static NodeIdentity identity(ControllerSettings settings) {
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
  static ControllerNode node(NodeIdentity identity) {
    return ControllerNode.create(
        identity,
        OwnershipOptions.standard(),
        PlacementPolicies.boundedChurn(),
        MemberItemCodec.create());
  }

  @Provides
  @Singleton
  static EventLoop<NodeEvent, NodeEffect> loop(ControllerNode node, Clock clock) {
    return EventLoop.create("controller", node, clock);
  }

  @Provides
  @Singleton
  static NodeInbox inbox(EventLoop<NodeEvent, NodeEffect> loop) {
    return loop::post;
  }

  @Provides
  @Singleton
  static PeerTransport transport(
      ControllerSettings settings, NodeIdentity identity, NodeInbox inbox) {
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
      ControllerSettings settings,
      PlatformServices platform,
      PeerTransport transport,
      NodeInbox inbox,
      Metrics metrics) {
    PlatformReads reads =
        PlatformReads.create(
            platform.table(),
            ConfigurationStore.of(platform.table(), platform.objects()),
            platform.hosts(),
            inbox);
    metrics.counter(
        "hornbeamwheel_platform_read_failures_total",
        "Polls of the host list, the configuration and rows that failed.",
        reads::failures);
    return MemberIo.create(transport, reads, DecisionLog.sampling(settings.decisionLogOneIn()));
  }

  @Provides
  @Singleton
  static ControllerPerformer performer(
      MemberIo io, PlatformServices platform, NodeInbox inbox, Metrics metrics) {
    PlatformErrors errors = new PlatformErrors(metrics);
    return new ControllerPerformer(
        io,
        new CellTable(platform.table(), inbox, errors),
        new SharesTable(platform.table(), inbox, errors),
        new OrderSender(platform.orders(), inbox, errors),
        ControllerMetrics.in(metrics));
  }
}
