package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.core.membership.Member;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.node.ControllerNode;
import dev.hornbeamwheel.core.node.NodeEffect;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.runtime.cli.RunningProgram;
import dev.hornbeamwheel.runtime.loop.EventLoop;
import dev.hornbeamwheel.runtime.member.NodeMetrics;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import dev.hornbeamwheel.runtime.operator.OperatorServer;
import dev.hornbeamwheel.runtime.operator.Readiness;
import dev.hornbeamwheel.wire.PeerTransport;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import javax.inject.Inject;
import javax.inject.Singleton;

/** A running controller. */
@Singleton
final class ControllerServer implements RunningProgram {
  /** Time for successors to take the cells over, in milliseconds. */
  private static final long HAND_OVER_MILLIS = 500;

  /** Time for the last messages to other members, in milliseconds. */
  private static final long LEAVE_MILLIS = 200;

  private final ControllerSettings settings;
  private final ControllerNode node;
  private final EventLoop<NodeEvent, NodeEffect> loop;
  private final ControllerPerformer performer;
  private final PeerTransport transport;
  private final PlatformServices platform;
  private final Readiness readiness;
  private final Metrics metrics;
  private final Clock clock;
  private final AtomicBoolean stopped = new AtomicBoolean();
  private OperatorServer operatorServer;

  @Inject
  ControllerServer(
      ControllerSettings settings,
      ControllerNode node,
      EventLoop<NodeEvent, NodeEffect> loop,
      ControllerPerformer performer,
      PeerTransport transport,
      PlatformServices platform,
      Readiness readiness,
      Metrics metrics,
      Clock clock) {
    this.settings = settings;
    this.node = node;
    this.loop = loop;
    this.performer = performer;
    this.transport = transport;
    this.platform = platform;
    this.readiness = readiness;
    this.metrics = metrics;
    this.clock = clock;
  }

  /**
   * Starts to serve.
   *
   * @throws RuntimeException if the operator address cannot be listened on; nothing is left open
   */
  void start() {
    try {
      operatorServer =
          OperatorServer.start(
              settings.operatorAddress(),
              new OperatorServer.Pages(metrics, readiness, loop::alive, this::status));
    } catch (RuntimeException e) {
      closeAll();
      throw e;
    }
    NodeMetrics.register(metrics, loop);
    NodeMetrics.register(metrics, transport.counters());
    metrics.gauge(
        "hornbeamwheel_cells_led",
        "Cells that this process leads.",
        () -> status().cellsLed().size());
    loop.start(performer, NodeEvent.Tick::new);
    loop.post(now -> new NodeEvent.HostListRead(now, settings.seeds()));
    readiness.ready();
  }

  /** Returns the address of the operator port. */
  InetSocketAddress operatorAddress() {
    return operatorServer.address();
  }

  @Override
  public void stop() {
    if (!stopped.compareAndSet(false, true)) {
      return;
    }
    readiness.stopping();
    loop.post(NodeEvent.Stopping::new);
    pause(HAND_OVER_MILLIS);
    loop.post(NodeEvent.Leaving::new);
    pause(LEAVE_MILLIS);
    closeAll();
    operatorServer.close();
  }

  /** Returns what this process leads and knows. */
  ControllerStatus status() {
    return loop.query(this::read).join();
  }

  private ControllerStatus read() {
    return new ControllerStatus(
        settings.member().value(),
        "controller",
        node.configuration().version(),
        node.cellsLed(clock.millis()).stream().map(CellId::toString).toList(),
        node.members().stream().map(Member::state).filter(state -> state.present()).count());
  }

  private void closeAll() {
    loop.close();
    transport.close();
    platform.close().run();
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
