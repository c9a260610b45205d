package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.HostEffect;
import dev.hornbeamwheel.core.host.node.HostEvent;
import dev.hornbeamwheel.core.host.node.HostIdentity;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.host.node.HostNode;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.site.CallerProtocol;
import dev.hornbeamwheel.platform.site.PlatformAdapter;
import dev.hornbeamwheel.runtime.cli.RunningProgram;
import dev.hornbeamwheel.wire.HostLinkListener;
import dev.hornbeamwheel.wire.HostLinks;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * A running entry host: hands what happens to the reducer and carries out its effects, all on one
 * thread.
 */
@Singleton
final class HostServer implements RunningProgram, HostLinkListener {
  /** Time between two ticks while requests are on their way, in milliseconds. */
  private static final long BUSY_TICK_MILLIS = 25;

  /** Time between two ticks otherwise, in milliseconds; each wakes the process. */
  private static final long IDLE_TICK_MILLIS = 100;

  /** Time between two sweeps over connections, in milliseconds. */
  private static final long SWEEP_MILLIS = 500;

  /** Callers' connections are ended so long after the signal to stop, in milliseconds. */
  private static final long FINISH_MILLIS = 2_600;

  /** The process ends so long before it would be killed, in milliseconds. */
  private static final long STOP_MARGIN_MILLIS = 600;

  private static final String METRICS_PATH = "/metrics";

  private final HostSettings settings;
  private final EventLoopGroup loop;
  private final Clock clock;
  private final HostLog log;
  private final HostMetrics metrics;
  private final HostNode node;
  private final PlatformAdapter platform;
  private final HostLinks links;
  private final CallerServer callers;
  private final LoopDelay lag;
  private final CoordinatorLoad load = new CoordinatorLoad();
  private final Deque<HostEvent> events = new ArrayDeque<>();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private boolean busy;
  private long stoppingSinceMillis;
  private long sweepDueMillis;
  private long tickDelayMillis;
  private long loadSinceMillis;

  @Inject
  HostServer(
      HostSettings settings, EventLoopGroup loop, Clock clock, HostLog log, HostMetrics metrics) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.node =
        HostNode.create(
            new HostIdentity(
                settings.host(),
                settings.dataCentre(),
                settings.peerAddress(),
                settings.capacity(),
                settings.holdMaxMillis(),
                System.nanoTime() ^ settings.host().hashCode()));
    this.platform =
        PlatformAdapter.create(settings.storeAddress(), loop, clock, this::handle, log::write);
    this.links = HostLinks.create(loop, this);
    this.lag = LoopDelay.startingAt(clock.millis());
    this.loadSinceMillis = clock.millis();
    this.callers =
        new CallerServer(
            loop,
            clock,
            this::handle,
            () -> node.limits().orElseGet(CallerServer::defaultLimits),
            node::stopping,
            () -> lag.behind(clock.millis()),
            log::write);
  }

  /**
   * Begins to serve.
   *
   * @throws IOException if an address of the settings cannot be listened on
   */
  void start() throws IOException {
    log.write(
        LogEntry.of("started")
            .with("dataCentre", settings.dataCentre().value())
            .with("callerAddress", settings.callerAddress().toString()));
    PageServer.listen(loop, settings.readinessAddress(), this::readiness);
    PageServer.listen(loop, settings.metricsAddress(), this::metricsPage);
    links.listen(settings.peerAddress());
    callers.listen(settings.callerAddress());
    loop.execute(platform::start);
    scheduleTick();
  }

  /**
   * Notes that the settings file was read again; addresses and limits are those of the start.
   *
   * @param refusal why the file was refused; empty if it is valid
   */
  void settingsRead(String refusal) {
    loop.execute(
        () ->
            log.write(
                refusal.isEmpty()
                    ? LogEntry.of("settings-read").with("effect", "at the next start")
                    : LogEntry.failure("settings-refused").with("reason", refusal)));
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
    handle(new HostEvent.HostSaid(clock.millis(), link, message));
  }

  @Override
  public void hostGone(LinkId link) {
    handle(new HostEvent.HostGone(clock.millis(), link));
  }

  @Override
  public void coordinatorConnected(long term) {
    handle(new HostEvent.CoordinatorConnected(clock.millis(), term));
  }

  @Override
  public void coordinatorSaid(long term, HostMessage message) {
    handle(new HostEvent.CoordinatorSaid(clock.millis(), term, message));
  }

  @Override
  public void coordinatorGone(long term) {
    handle(new HostEvent.CoordinatorGone(clock.millis(), term));
  }

  @Override
  public void sent(HostMessage message, int bytes) {
    metrics.sent(message, bytes);
    load.sent(message, bytes);
  }

  private void handle(HostEvent event) {
    events.add(event);
    if (busy) {
      return;
    }
    busy = true;
    try {
      for (HostEvent next = events.poll(); next != null; next = events.poll()) {
        apply(next);
      }
    } finally {
      busy = false;
    }
  }

  private void apply(HostEvent event) {
    if (event instanceof HostEvent.RequestArrived arrived) {
      metrics.arrived(arrived.atMillis(), arrived.request());
    }
    List<HostEffect> effects = new ArrayList<>();
    guarded(event, () -> effects.addAll(node.reduce(event)));
    effects.forEach(effect -> guarded(effect, () -> perform(event.atMillis(), effect)));
  }

  /** Does one step; its failure is logged, and concerns no other event and no other effect. */
  private void guarded(Object subject, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | StackOverflowError e) {
      log.write(
          LogEntry.failure("event-failed")
              .with("kind", subject.getClass().getSimpleName())
              .with("cause", e + " at " + e.getStackTrace()[0]));
    }
  }

  private void perform(long nowMillis, HostEffect effect) {
    metrics.count(nowMillis, effect);
    if (effect instanceof HostEffect.Request request) {
      callers.perform(request.effect());
    } else if (effect instanceof HostEffect.Say say) {
      links.say(say.message());
    } else if (effect instanceof HostEffect.Tell tell) {
      links.tell(tell.link(), tell.message());
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
    } else if (effect instanceof HostEffect.DropHosts) {
      links.dropHosts();
    }
  }

  private void scheduleTick() {
    boolean working = node.coordinating() || node.requests() > 0;
    tickDelayMillis = working ? BUSY_TICK_MILLIS : IDLE_TICK_MILLIS;
    var unused = loop.schedule(this::tick, tickDelayMillis, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    long now = clock.millis();
    lag.ticked(now, tickDelayMillis);
    scheduleTick();
    handle(new HostEvent.Tick(now));
    if (now - loadSinceMillis >= CoordinatorLoad.PERIOD_MILLIS) {
      reportLoad(now);
    }
    if (now >= sweepDueMillis) {
      sweepDueMillis = now + SWEEP_MILLIS;
      callers.sweep();
      platform.closeExpiredConnections();
    }
    if (node.stopping()) {
      goOnStopping(now);
    }
  }

  private void reportLoad(long now) {
    long delay = lag.takeWorstMillis();
    metrics.loopDelay(delay);
    load.end(node.coordinatorWork(), now - loadSinceMillis, links.queuedBytes(), delay)
        .ifPresent(log::write);
    loadSinceMillis = now;
  }

  private void beginStop() {
    stoppingSinceMillis = clock.millis();
    handle(
        new HostEvent.Stopping(
            stoppingSinceMillis,
            stoppingSinceMillis + finishAfterMillis(),
            stoppingSinceMillis + settings.graceMillis() - STOP_MARGIN_MILLIS));
  }

  private void goOnStopping(long now) {
    long since = now - stoppingSinceMillis;
    if (since < finishAfterMillis()) {
      return;
    }
    callers.finish();
    boolean last = since > settings.graceMillis() - STOP_MARGIN_MILLIS;
    if ((node.requests() == 0 && callers.connections() == 0) || last) {
      callers.stopListening();
      platform.stop();
      log.write(LogEntry.of("stopped").with("requestsLeft", node.requests()));
      stopped.countDown();
    }
  }

  private long finishAfterMillis() {
    return Math.min(FINISH_MILLIS, settings.graceMillis() / 2);
  }

  private PageServer.Page readiness(String path) {
    boolean ready = path.equals(CallerProtocol.READINESS_PATH) && node.ready();
    return PageServer.Page.empty(
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  private PageServer.Page metricsPage(String path) {
    if (!path.equals(METRICS_PATH)) {
      return PageServer.Page.empty(HttpResponseStatus.NOT_FOUND);
    }
    ByteArrayOutputStream page = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(page, metrics.metrics().registry().scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("a page cannot be written to memory", e);
    }
    return new PageServer.Page(HttpResponseStatus.OK, page.toString(StandardCharsets.UTF_8));
  }
}
