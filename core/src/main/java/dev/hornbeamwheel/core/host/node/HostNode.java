package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.lease.CoordinatorLease;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.lease.LeaseRead;
import dev.hornbeamwheel.core.host.lease.LeaseRow;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestFlow;
import dev.hornbeamwheel.core.host.slots.LinkId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All concerns of one entry host, joined into one reducer.
 *
 * <p>Every host serves callers; the one that holds the lease is the coordinator as well. A host
 * speaks to the coordinator over a connection, or directly if it is the coordinator itself.
 *
 * <pre>{@code
 * HostNode node = HostNode.create(identity);
 * node.reduce(new HostEvent.RequestArrived(clock.millis(), ref, head)).forEach(performer);
 * }</pre>
 */
public final class HostNode implements Reducer<HostEvent, HostEffect> {
  /** The coordinator's own host speaks to it on this link. */
  static final LinkId OWN_LINK = new LinkId(0);

  /** A coordinator that is silent for so long is challenged, in milliseconds. */
  static final long CHALLENGE_SILENT_MILLIS = 800;

  /** A coordinator that has lost its lease for so long is challenged, in milliseconds. */
  static final long CHALLENGE_UNLEASED_MILLIS = 200;

  /** A clearly weaker host leaves a lapsed lease to others for so long, in milliseconds. */
  static final long YIELD_MILLIS = 600;

  /** After one lease was handed over, no host hands one over for so long, in milliseconds. */
  static final long HAND_OVER_PAUSE_MILLIS = 60_000;

  /** Pause before connecting to the coordinator again, in milliseconds. */
  static final long RECONNECT_MILLIS = 300;

  private final HostIdentity self;
  private final Catalog catalog = Catalog.empty();
  private final CoordinatorLease lease;
  private final RequestFlow flow;
  private final List<HostEffect> out = new ArrayList<>();

  private Optional<LeaseRow> announced = Optional.empty();
  private Optional<Coordinator> coordinator = Optional.empty();

  /** Hosts that read in the store that this one won before its own answer told it. */
  private final Map<LinkId, HostMessage> earlyHellos = new LinkedHashMap<>();

  private boolean connected;
  private boolean connecting;
  private long reconnectDue;
  private long heardMillis;
  private long leasedHeardMillis;
  private HostCapacity best = HostCapacity.unknown();
  private boolean handingOver;
  private long handOverDue;
  private boolean stopping;

  private HostNode(HostIdentity self) {
    this.self = self;
    this.lease = CoordinatorLease.create(self.host(), self.address(), self.seed());
    this.flow = RequestFlow.create(catalog, self.dataCentre(), self.seed());
  }

  /** Returns the reducer of one start of an entry host. */
  public static HostNode create(HostIdentity self) {
    return new HostNode(self);
  }

  /** Returns whether the host can serve callers and is not stopping. */
  public boolean ready() {
    return catalog.complete() && !stopping;
  }

  /** Returns whether the process is to stop. */
  public boolean stopping() {
    return stopping;
  }

  /** Returns how many requests are on their way. */
  public int requests() {
    return flow.size();
  }

  /** Returns the bounds on what callers send, or empty before the first configuration. */
  public Optional<CallerLimits> limits() {
    return catalog.configuration().map(FleetConfiguration::limits);
  }

  /** Returns whether this host is the coordinator now. */
  public boolean coordinating() {
    return coordinator.isPresent();
  }

  /** Returns what this host has done as the coordinator, or empty if it is not. */
  public Optional<CoordinatorWork> coordinatorWork() {
    return coordinator.map(Coordinator::work);
  }

  @Override
  public List<HostEffect> reduce(HostEvent event) {
    apply(event);
    List<HostEffect> effects = List.copyOf(out);
    out.clear();
    return effects;
  }

  private void apply(HostEvent event) {
    long now = event.atMillis();
    if (event instanceof HostEvent.RequestArrived arrived) {
      performAll(now, flow.arrived(now, arrived.request(), arrived.head()));
    } else if (event instanceof HostEvent.AttemptEnded ended) {
      performAll(now, flow.attemptEnded(now, ended.request(), ended.result()));
    } else if (event instanceof HostEvent.CallerDisconnected left) {
      performAll(now, flow.callerLeft(now, left.request()));
    } else if (event instanceof HostEvent.Tick) {
      tick(now);
    } else if (event instanceof HostEvent.CoordinatorMessageReceived said) {
      if (connected && said.term() == announcedTerm()) {
        hear(now, said.message());
      }
    } else if (event instanceof HostEvent.HostMessageReceived said) {
      hostSaid(now, said);
    } else if (event instanceof HostEvent.Stopping stop) {
      flow.stopping(stop.lastCallMillis(), stop.endsMillis());
      stop(now);
    } else {
      applyRare(now, event);
    }
  }

  private void applyRare(long now, HostEvent event) {
    if (event instanceof HostEvent.HostDisconnected gone) {
      earlyHellos.remove(gone.link());
      coordinator.ifPresent(leader -> lead(now, leader.hostGone(now, gone.link())));
    } else if (event instanceof HostEvent.CoordinatorConnected up) {
      coordinatorConnected(now, up.term());
    } else if (event instanceof HostEvent.CoordinatorDisconnected gone) {
      coordinatorGone(now, gone.term());
    } else if (event instanceof HostEvent.LeaseReadEnded ended) {
      ended.read().ifPresentOrElse(read -> leaseRead(now, read), () -> lease.readFailed(now));
    } else if (event instanceof HostEvent.LeaseWriteEnded ended) {
      lease(now, lease.written(now, ended.result()));
    } else if (event instanceof HostEvent.TableReadEnded ended) {
      leading(ended.term())
          .ifPresent(c -> lead(now, c.tableRead(now, ended.service(), ended.result())));
    } else if (event instanceof HostEvent.TableWriteEnded ended) {
      leading(ended.term())
          .ifPresent(c -> lead(now, c.tableWritten(now, ended.service(), ended.result())));
    } else if (event instanceof HostEvent.OrderEnded ended) {
      leading(ended.term())
          .ifPresent(
              c -> lead(now, c.orderEnded(now, ended.service(), ended.order(), ended.result())));
    } else {
      learn(now, event);
    }
  }

  private void hostSaid(long now, HostEvent.HostMessageReceived said) {
    if (coordinator.isPresent()) {
      lead(now, coordinator.get().receive(now, said.link(), said.message()));
    } else if (said.message() instanceof HostMessage.Hello) {
      earlyHellos.put(said.link(), said.message());
    }
  }

  private void learn(long now, HostEvent event) {
    if (event instanceof HostEvent.ConfigurationRead read) {
      if (catalog.configure(read.configuration())) {
        log(LogEntry.of("configuration").with("version", read.configuration().version()));
      }
    } else if (event instanceof HostEvent.UpstreamsRead read) {
      catalog.replaceUpstreams(now, read.entries());
      log(LogEntry.of("upstreams-read").with("count", read.entries().size()));
    } else if (event instanceof HostEvent.UpstreamChanged changed) {
      catalog.putUpstream(changed.entry());
      log(
          LogEntry.of("upstream-changed")
              .with("upstream", changed.entry().id().value())
              .with("service", changed.entry().service().value())
              .with("address", changed.entry().address().toString())
              .with("dataCentre", changed.entry().dataCentre().value())
              .with("draining", changed.entry().draining() ? 1 : 0)
              .with("coldMillis", Math.max(0, changed.entry().coldUntilMillis() - now)));
    } else if (event instanceof HostEvent.UpstreamRemoved removed) {
      catalog.removeUpstream(now, removed.upstream());
      log(LogEntry.of("upstream-removed").with("upstream", removed.upstream().value()));
    } else if (event instanceof HostEvent.EvacuationsRead read) {
      catalog.evacuate(read.dataCentres());
      log(LogEntry.of("evacuations").with("dataCentres", read.dataCentres().toString()));
    } else if (event instanceof HostEvent.StoreReturned) {
      catalog.storeReturned(now);
    }
    coordinator.ifPresent(Coordinator::catalogChanged);
  }

  private void tick(long now) {
    if (catalog.tick(now)) {
      coordinator.ifPresent(Coordinator::catalogChanged);
    }
    lease(now, lease.tick(now));
    if (!stopping) {
      watchCoordinator(now);
    }
    boolean leased = lease.leading(now);
    coordinator.ifPresent(c -> lead(now, c.tick(now, leased, lease.renewalLate(now))));
    boolean mayHandOver =
        leased && !stopping && now >= handOverDue && !lease.renewalLate(now) && catalog.complete();
    if (mayHandOver && coordinator.filter(c -> c.shouldHandOver(now)).isPresent()) {
      lease(now, lease.handOver(now));
    }
    performAll(now, flow.tick(now));
  }

  private void watchCoordinator(long now) {
    boolean silent = now - heardMillis > CHALLENGE_SILENT_MILLIS;
    boolean unleased =
        now - leasedHeardMillis > CHALLENGE_SILENT_MILLIS + CHALLENGE_UNLEASED_MILLIS;
    boolean strong = !self.capacity().isUnknown() && !self.capacity().clearlyBelow(best);
    boolean called = handingOver && (strong || coordinator.isPresent());
    if (announced.isEmpty() || !connected || silent || unleased || called) {
      lease(now, lease.challenge(now, yieldMillis()));
    } else {
      lease.withdraw();
    }
    boolean mine = coordinator.isPresent();
    if (announced.isPresent() && !mine && !connected && !connecting && now >= reconnectDue) {
      connecting = true;
      reconnectDue = now + RECONNECT_MILLIS;
      out.add(new HostEffect.Connect(announcedTerm(), announced.get().address()));
    }
  }

  private void leaseRead(long now, LeaseRead read) {
    if (best.isUnknown()) {
      // A host that has just started learns from the row whether it is weak.
      read.row().map(LeaseRow::best).ifPresent(this::noteBest);
      lease.yieldFor(yieldMillis());
    }
    lease(now, lease.read(now, read));
  }

  private void noteBest(HostCapacity capacity) {
    best = capacity;
    lease.noteBest(capacity);
  }

  private long yieldMillis() {
    return self.capacity().clearlyBelow(best) ? YIELD_MILLIS : 0;
  }

  private void announced(long now, LeaseRow row) {
    // A row of an earlier start of this host names nobody who could answer.
    if (row.term() <= announcedTerm() || row.address().equals(self.address())) {
      return;
    }
    announced = Optional.of(row);
    log(
        LogEntry.of("coordinator-known")
            .with("term", row.term())
            .with("host", row.holder().value())
            .with("address", row.address().toString()));
    boolean mine = coordinator.filter(c -> c.term() == row.term()).isPresent();
    if (mine) {
      return;
    }
    resign(now);
    disconnect(now);
    handingOver = false;
    heardMillis = now;
    leasedHeardMillis = now;
    reconnectDue = now;
  }

  private void resign(long now) {
    coordinator.ifPresent(
        c -> {
          log(LogEntry.of("coordinator-resigned").with("term", c.term()));
          out.add(new HostEffect.DisconnectHosts());
        });
    if (coordinator.isPresent()) {
      coordinator = Optional.empty();
      performAll(now, flow.coordinatorLost(now));
      connected = false;
    }
  }

  private void disconnect(long now) {
    if (connected || connecting) {
      out.add(new HostEffect.Disconnect());
    }
    if (connected) {
      connected = false;
      performAll(now, flow.coordinatorLost(now));
    }
    connecting = false;
  }

  private void coordinatorConnected(long now, long term) {
    if (coordinator.isPresent() || term != announcedTerm()) {
      return;
    }
    connecting = false;
    joined(now);
  }

  private void joined(long now) {
    connected = true;
    heardMillis = now;
    leasedHeardMillis = now;
    handingOver = false;
    say(now, new HostMessage.Hello(self.host(), self.dataCentre(), self.capacity()));
    performAll(now, flow.coordinatorConnected(now));
    log(LogEntry.of("coordinator-joined").with("term", announcedTerm()));
  }

  private void coordinatorGone(long now, long term) {
    if (coordinator.isPresent() || term != announcedTerm()) {
      return;
    }
    connecting = false;
    reconnectDue = now + RECONNECT_MILLIS;
    if (connected) {
      connected = false;
      log(LogEntry.failure("coordinator-lost").with("term", term));
      performAll(now, flow.coordinatorLost(now));
    }
  }

  private void hear(long now, HostMessage message) {
    heardMillis = now;
    if (message instanceof HostMessage.SlotGrant give) {
      performAll(now, flow.given(now, give.ask(), give.upstream(), give.fence()));
    } else if (message instanceof HostMessage.SlotRefusal refuse) {
      performAll(now, flow.refused(now, refuse.ask(), refuse.retryAfterMillis(), refuse.reason()));
    } else if (message instanceof HostMessage.Heartbeat heartbeat) {
      if (heartbeat.leased()) {
        leasedHeardMillis = now;
      }
      noteBest(heartbeat.best());
      handingOver = heartbeat.handingOver();
      if (handingOver) {
        handOverDue = now + HAND_OVER_PAUSE_MILLIS;
      }
      flow.coordinatorHeard(now, heartbeat.term(), heartbeat.hosts());
    } else if (message instanceof HostMessage.KeyMap map) {
      flow.owners(map.service(), map.byFirstKey());
    } else if (message instanceof HostMessage.KeyMapChange change) {
      flow.ownersChanged(change.service(), change.byFirstKey(), change.joined());
    }
  }

  private void lease(long now, List<LeaseEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof LeaseEffect.Won won) {
            won(now, won.term());
          } else if (effect instanceof LeaseEffect.HeldByOther held) {
            announced(now, held.row());
          } else if (effect instanceof LeaseEffect.HandedOver given) {
            leading(given.term()).ifPresent(c -> lead(now, c.handedOver()));
          } else if (effect instanceof LeaseEffect.Lost lost) {
            log(
                LogEntry.failure("lease-lost")
                    .with("term", lost.term())
                    .with("reason", lost.reason()));
          } else {
            out.add(new HostEffect.Lease(effect));
          }
        });
  }

  private void won(long now, long term) {
    log(LogEntry.of("lease-won").with("term", term));
    boolean again = coordinator.filter(c -> c.term() == term).isPresent();
    if (again) {
      return;
    }
    disconnect(now);
    resign(now);
    announced = Optional.of(new LeaseRow(term, self.host(), self.address(), 0, best));
    coordinator = Optional.of(new Coordinator(now, term, self, catalog));
    joined(now);
    Coordinator leader = coordinator.get();
    earlyHellos.forEach((link, hello) -> lead(now, leader.receive(now, link, hello)));
    earlyHellos.clear();
  }

  private void stop(long now) {
    stopping = true;
    log(LogEntry.of("stopping").with("requests", flow.size()));
    lease(now, lease.giveUp(now));
  }

  private Optional<Coordinator> leading(long term) {
    return coordinator.filter(c -> c.term() == term);
  }

  private void lead(long now, List<HostEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof HostEffect.SendToHost tell && tell.link().equals(OWN_LINK)) {
            hear(now, tell.message());
          } else {
            out.add(effect);
          }
        });
  }

  private void say(long now, HostMessage message) {
    if (coordinator.isPresent()) {
      lead(now, coordinator.get().receive(now, OWN_LINK, message));
    } else if (connected) {
      out.add(new HostEffect.SendToCoordinator(message));
    }
  }

  private void performAll(long now, List<RequestEffect> effects) {
    effects.forEach(effect -> performRequest(now, effect));
  }

  private void performRequest(long now, RequestEffect effect) {
    if (effect instanceof RequestEffect.AskSlot ask) {
      say(
          now,
          new HostMessage.SlotRequest(
              ask.ask(),
              ask.service(),
              ask.key(),
              ask.priority(),
              ask.deadlineMillis(),
              ask.targetMillis(),
              ask.large(),
              ask.avoid()));
    } else if (effect instanceof RequestEffect.CancelAsk cancel) {
      say(now, new HostMessage.Cancel(cancel.ask()));
    } else if (effect instanceof RequestEffect.FreeSlot free) {
      say(
          now,
          new HostMessage.Done(
              free.ask(),
              free.upstream(),
              free.completion(),
              free.ranMillis(),
              free.workPercent()));
    } else if (effect instanceof RequestEffect.HoldSlot hold) {
      say(now, new HostMessage.SlotInUse(hold.ask(), hold.service(), hold.key(), hold.upstream()));
    } else if (effect instanceof RequestEffect.Log line) {
      log(line.entry());
    } else {
      out.add(new HostEffect.Request(effect));
    }
  }

  private long announcedTerm() {
    return announced.map(LeaseRow::term).orElse(0L);
  }

  private void log(LogEntry entry) {
    out.add(new HostEffect.Log(entry));
  }
}
