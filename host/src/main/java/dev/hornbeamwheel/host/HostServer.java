package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.HostEffect;
import dev.hornbeamwheel.core.host.node.HostEvent;
import dev.hornbeamwheel.core.host.node.HostIdentity;
import dev.hornbeamwheel.core.host.node.HostInspection;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.host.node.HostNode;
import dev.hornbeamwheel.core.host.request.ShutdownSchedule;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.time.SuspensionClock;
import dev.hornbeamwheel.platform.site.CallerProtocol;
import dev.hornbeamwheel.platform.site.PlatformAdapter;
import dev.hornbeamwheel.runtime.cli.RunningProgram;
import dev.hornbeamwheel.wire.HostLinkListener;
import dev.hornbeamwheel.wire.HostLinks;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Runs an entry host: passes events to the reducer and carries out its effects, all on one thread.
 */
@Singleton
final class HostServer implements RunningProgram, HostLinkListener {
  /**
   * Tick interval while requests are in flight, or this host is the coordinator or stops, in
   * milliseconds.
   */
  private static final long BUSY_TICK_INTERVAL_MILLIS = 25;

  /** Tick interval otherwise, in milliseconds; longer because each tick wakes the process. */
  private static final long IDLE_TICK_INTERVAL_MILLIS = 100;

  /** Interval between sweeps that close expired connections, in milliseconds. */
  private static final long SWEEP_INTERVAL_MILLIS = 500;

  /** Time from the stop signal until connections of callers are closed, in milliseconds. */
  private static final long CALLER_DRAIN_MILLIS = 2_600;

  /** Time before the end of the grace period at which the last requests end, in milliseconds. */
  private static final long STOP_MARGIN_MILLIS = 600;

  /** Time in which callers can receive the last responses before the exit, in milliseconds. */
  private static final long LAST_RESPONSES_MILLIS = 100;

  private final HostSettings settings;
  private final EventLoopGroup loop;
  private final SuspensionClock clock;
  private final HostLog log;
  private final HostMetrics metrics;
  private final QueueMetrics queueMetrics;
  private final BufferMetrics bufferMetrics;
  private final HostNode node;
  private final HostInspection inspection;
  private final PlatformAdapter platform;
  private final HostLinks links;
  private final CallerServer callerServer;
  private final LoopDelay loopDelay;
  private final OperatorPages operatorPages;
  private final CoordinatorLoad coordinatorLoad = new CoordinatorLoad();
  private final Deque<HostEvent> events = new ArrayDeque<>();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private boolean handlingEvents;
  private long reportedSuspendedMillis;
  private ShutdownSchedule shutdown;
  private StopStep stopStep = StopStep.SERVING;
  private long sweepDueMillis;
  private long tickIntervalMillis;
  private long loadPeriodStartMillis;

  @Inject
  HostServer(
      HostSettings settings,
      EventLoopGroup loop,
      SuspensionClock clock,
      HostLog log,
      HostMetrics metrics) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.queueMetrics = QueueMetrics.create(metrics.metrics());
    this.bufferMetrics = BufferMetrics.create(metrics.metrics());
    this.node =
        HostNode.create(
            new HostIdentity(
                settings.host(),
                settings.dataCentre(),
                settings.peerAddress(),
                settings.capacity(),
                settings.holdMaxMillis(),
                System.nanoTime() ^ settings.host().hashCode(),
                settings.plannedHosts(),
                settings.minLearnedSlots()));
    this.inspection = node.inspection();
    this.platform =
        PlatformAdapter.create(settings.storeAddress(), loop, clock, this::handle, log::write);
    this.links = HostLinks.create(loop, this);
    this.operatorPages =
        new OperatorPages(
            metrics,
            () -> inspection.quarantined(clock.millis()),
            fingerprint -> handle(new HostEvent.QuarantineLifted(clock.millis(), fingerprint)),
            new ExplainPage(
                settings.host().value(), query -> inspection.explain(clock.millis(), query)));
    metrics
        .metrics()
        .gauge(
            "hornbeamwheel_quarantined_requests",
            "Requests that are refused because they ended upstreams.",
            () -> inspection.quarantined(clock.millis()).size());
    this.loopDelay = LoopDelay.startingAt(clock.millis());
    this.loadPeriodStartMillis = clock.millis();
    this.callerServer =
        new CallerServer(
            loop,
            clock,
            this::handle,
            () -> inspection.limits().orElseGet(CallerServer::defaultLimits),
            node::stopping,
            () -> loopDelay.lagging(clock.millis()),
            log::write,
            settings.bufferLimits());
  }

  /**
   * Starts to listen and to serve callers.
   *
   * @throws IOException if this process cannot listen on an address of the settings
   */
  void start() throws IOException {
    log.write(
        LogEntry.of("started")
            .with("dataCentre", settings.dataCentre().value())
            .with("callerAddress", settings.callerAddress().toString()));
    MonitoringHttpServer.listen(loop, settings.readinessAddress(), this::readiness);
    MonitoringHttpServer.listen(loop, settings.metricsAddress(), operatorPages);
    links.listen(settings.peerAddress());
    callerServer.listen(settings.callerAddress());
    loop.execute(platform::start);
    scheduleTick();
  }

  /**
   * Logs that the settings file was read again; changes take effect at the next start.
   *
   * @param rejection why the file was rejected; empty if it is valid
   */
  void settingsRead(String rejection) {
    loop.execute(
        () ->
            log.write(
                rejection.isEmpty()
                    ? LogEntry.of("settings-read").with("effect", "at the next start")
                    : LogEntry.failure("settings-refused").with("reason", rejection)));
  }

  @Override
  public void stop() {
    loop.execute(this::beginStop);
    try {
      if (!stopped.await(settings.graceMillis(), TimeUnit.MILLISECONDS)) {
        log.write(LogEntry.failure("stopped-late"));
      }
      var unused = loop.shutdownGracefully(0, STOP_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void hostSaid(LinkId link, HostMessage message) {
    handle(new HostEvent.HostMessageReceived(clock.millis(), link, message));
  }

  @Override
  public void hostGone(LinkId link) {
    handle(new HostEvent.HostDisconnected(clock.millis(), link));
  }

  @Override
  public void coordinatorConnected(long term) {
    handle(new HostEvent.CoordinatorConnected(clock.millis(), term));
  }

  @Override
  public void coordinatorSaid(long term, HostMessage message) {
    handle(new HostEvent.CoordinatorMessageReceived(clock.millis(), term, message));
  }

  @Override
  public void coordinatorGone(long term) {
    handle(new HostEvent.CoordinatorDisconnected(clock.millis(), term));
  }

  @Override
  public void sent(HostMessage message, int bytes) {
    metrics.sent(message, bytes);
    coordinatorLoad.recordSent(message, bytes);
  }

  private void handle(HostEvent event) {
    long advancedMillis = clock.suspendedMillis() - reportedSuspendedMillis;
    if (advancedMillis > 0) {
      reportedSuspendedMillis += advancedMillis;
      events.add(new HostEvent.ClockAdvanced(event.atMillis(), advancedMillis));
    }
    events.add(event);
    if (handlingEvents) {
      return;
    }
    handlingEvents = true;
    try {
      for (HostEvent next = events.poll(); next != null; next = events.poll()) {
        apply(next);
      }
    } finally {
      handlingEvents = false;
    }
  }

  private void apply(HostEvent event) {
    if (event instanceof HostEvent.RequestArrived arrived) {
      metrics.arrived(arrived.atMillis(), arrived.request());
    }
    List<HostEffect> effects = new ArrayList<>();
    runGuarded(event::kindName, () -> effects.addAll(node.reduce(event)));
    effects.forEach(
        effect -> runGuarded(effect::kindName, () -> perform(event.atMillis(), effect)));
  }

  /** Runs one step and logs its failure, so that other events and effects are still processed. */
  private void runGuarded(Supplier<String> kindName, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | StackOverflowError e) {
      log.write(
          LogEntry.failure("event-failed")
              .with("kind", kindName.get())
              .with("cause", e + " at " + e.getStackTrace()[0]));
    }
  }

  private void perform(long nowMillis, HostEffect effect) {
    metrics.count(nowMillis, effect);
    if (effect instanceof HostEffect.Request request) {
      callerServer.perform(request.effect());
    } else if (effect instanceof HostEffect.SendToCoordinator send) {
      links.say(send.message());
    } else if (effect instanceof HostEffect.SendToHost send) {
      links.tell(send.link(), send.message());
    } else if (effect instanceof HostEffect.Log line) {
      log.write(line.entry());
    } else if (effect instanceof HostEffect.Lease lease) {
      platform.performLease(lease.effect());
    } else if (effect instanceof HostEffect.Keys keys) {
      platform.performKeys(keys);
    } else if (effect instanceof HostEffect.Connect connect) {
      links.connect(connect.term(), connect.address());
    } else if (effect instanceof HostEffect.Disconnect) {
      links.disconnect();
    } else if (effect instanceof HostEffect.DisconnectHosts) {
      links.dropHosts();
    } else if (effect instanceof HostEffect.FollowTable follow) {
      platform.followTable(follow.table(), follow.source());
    } else if (effect instanceof HostEffect.TakeOverChanges take) {
      platform.takeOverChanges(take.changes());
    }
  }

  private void scheduleTick() {
    boolean active = node.coordinating() || node.requestsInFlight() > 0 || node.stopping();
    tickIntervalMillis = active ? BUSY_TICK_INTERVAL_MILLIS : IDLE_TICK_INTERVAL_MILLIS;
    var unused = loop.schedule(this::tick, tickIntervalMillis, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    long now = clock.millis();
    loopDelay.recordTick(now, tickIntervalMillis);
    scheduleTick();
    handle(new HostEvent.Tick(now));
    callerServer.updateBuffers();
    if (now - loadPeriodStartMillis >= CoordinatorLoad.PERIOD_MILLIS) {
      reportLoad(now);
    }
    if (now >= sweepDueMillis) {
      sweepDueMillis = now + SWEEP_INTERVAL_MILLIS;
      callerServer.enforceTimeouts();
      platform.closeExpiredConnections();
    }
    if (node.stopping()) {
      continueStop(now);
    }
  }

  private void reportLoad(long now) {
    long delay = loopDelay.takeMaxDelayMillis();
    metrics.loopDelay(delay);
    metrics.shares(inspection.shareStatistics(now));
    metrics.upstreamLimits(inspection.upstreamLimits());
    queueMetrics.record(inspection.coordinatorStatistics());
    bufferMetrics.record(callerServer.buffers());
    metrics.storeEra(platform.storeEra());
    coordinatorLoad
        .endPeriod(
            inspection.coordinatorStatistics(),
            now - loadPeriodStartMillis,
            links.queuedBytes(),
            delay)
        .ifPresent(log::write);
    loadPeriodStartMillis = now;
  }

  private void beginStop() {
    long now = clock.millis();
    long drainMillis = Math.min(CALLER_DRAIN_MILLIS, settings.graceMillis() / 2);
    long exitMillis = now + Math.max(0, settings.graceMillis() - STOP_MARGIN_MILLIS);
    shutdown = ShutdownSchedule.of(now + drainMillis, exitMillis);
    handle(new HostEvent.Stopping(now, shutdown));
  }

  /** Takes the steps of the stop that are due; follows the tick of the node, which answers. */
  private void continueStop(long now) {
    logStopStep(now);
    if (now < shutdown.drainStartMillis()) {
      return;
    }
    callerServer.closeConnectionsGracefully();
    if (now >= shutdown.lastSendMillis()) {
      callerServer.refuseUnreadBodies();
    }
    boolean allClosed = node.requestsInFlight() == 0 && callerServer.connections() == 0;
    boolean allAnswered = now >= shutdown.exitMillis() && callerServer.drained();
    if (allClosed || allAnswered || now >= shutdown.exitMillis() + LAST_RESPONSES_MILLIS) {
      callerServer.stopListening();
      platform.stop();
      log.write(describeStop("stopped"));
      stopped.countDown();
    }
  }

  private void logStopStep(long now) {
    StopStep step = StopStep.at(now, shutdown);
    if (step != stopStep) {
      stopStep = step;
      log.write(describeStop("stop-step").with("step", step.name()));
    }
  }

  private LogEntry describeStop(String event) {
    return LogEntry.of(event)
        .with("requestsLeft", node.requestsInFlight())
        .with("waiting", node.requestsWaiting())
        .with("coordinating", node.coordinating() ? 1 : 0)
        .with("connections", callerServer.connections());
  }

  private MonitoringHttpServer.Response readiness(HttpMethod method, String path) {
    boolean ready = path.equals(CallerProtocol.READINESS_PATH) && node.ready();
    return MonitoringHttpServer.Response.empty(
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
  }
}
