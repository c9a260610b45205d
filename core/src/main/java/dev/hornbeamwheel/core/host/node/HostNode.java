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
  static final LinkId LOCAL_LINK = new LinkId(0);

  /** A coordinator that is silent for so long is challenged, in milliseconds. */
  static final long COORDINATOR_TIMEOUT_MILLIS = 800;

  /** A coordinator that has lost its lease for so long is challenged, in milliseconds. */
  static final long LEASE_LOSS_GRACE_MILLIS = 200;

  /** A clearly weaker host leaves a lapsed lease to others for so long, in milliseconds. */
  static final long WEAK_HOST_DELAY_MILLIS = 600;

  /** After one lease was handed over, no host hands one over for so long, in milliseconds. */
  static final long HANDOVER_COOLDOWN_MILLIS = 60_000;

  /** Pause before connecting to the coordinator again, in milliseconds. */
  static final long RECONNECT_DELAY_MILLIS = 300;

  private final HostIdentity self;
  private final Catalog catalog = Catalog.empty();
  private final CoordinatorLease lease;
  private final RequestFlow requestFlow;
  private final List<HostEffect> pendingEffects = new ArrayList<>();

  private Optional<LeaseRow> announced = Optional.empty();
  private Optional<Coordinator> coordinator = Optional.empty();

  /** Hosts that read in the store that this one won before its own answer told it. */
  private final Map<LinkId, HostMessage> pendingHellos = new LinkedHashMap<>();

  private boolean connected;
  private boolean connecting;
  private long reconnectDueMillis;
  private long lastMessageMillis;
  private long lastLeaseHeldMillis;
  private HostCapacity bestCapacity = HostCapacity.unknown();
  private boolean handingOver;
  private long nextHandoverMillis;
  private boolean stopping;

  private HostNode(HostIdentity self) {
    this.self = self;
    this.lease = CoordinatorLease.create(self.host(), self.address(), self.seed());
    this.requestFlow = RequestFlow.create(catalog, self.dataCentre(), self.seed());
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
  public int requestsInFlight() {
    return requestFlow.size();
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
  public Optional<CoordinatorStatistics> coordinatorStatistics() {
    return coordinator.map(Coordinator::statistics);
  }

  @Override
  public List<HostEffect> reduce(HostEvent event) {
    apply(event);
    List<HostEffect> effects = List.copyOf(pendingEffects);
    pendingEffects.clear();
    return effects;
  }

  private void apply(HostEvent event) {
    long now = event.atMillis();
    if (event instanceof HostEvent.RequestArrived arrived) {
      performRequestEffects(now, requestFlow.arrived(now, arrived.request(), arrived.head()));
    } else if (event instanceof HostEvent.AttemptEnded ended) {
      performRequestEffects(now, requestFlow.attemptEnded(now, ended.request(), ended.result()));
    } else if (event instanceof HostEvent.CallerDisconnected left) {
      performRequestEffects(now, requestFlow.callerLeft(now, left.request()));
    } else if (event instanceof HostEvent.Tick) {
      tick(now);
    } else if (event instanceof HostEvent.CoordinatorMessageReceived said) {
      if (connected && said.term() == knownTerm()) {
        receiveFromCoordinator(now, said.message());
      }
    } else if (event instanceof HostEvent.HostMessageReceived said) {
      hostMessageReceived(now, said);
    } else if (event instanceof HostEvent.Stopping stop) {
      requestFlow.stopping(stop.refuseFromMillis(), stop.exitDeadlineMillis());
      stop(now);
    } else {
      applyControlEvent(now, event);
    }
  }

  private void applyControlEvent(long now, HostEvent event) {
    if (event instanceof HostEvent.HostDisconnected gone) {
      pendingHellos.remove(gone.link());
      coordinator.ifPresent(
          leader -> performCoordinatorEffects(now, leader.hostDisconnected(now, gone.link())));
    } else if (event instanceof HostEvent.CoordinatorConnected up) {
      coordinatorConnected(now, up.term());
    } else if (event instanceof HostEvent.CoordinatorDisconnected gone) {
      coordinatorDisconnected(now, gone.term());
    } else if (event instanceof HostEvent.LeaseReadEnded ended) {
      ended.read().ifPresentOrElse(read -> leaseRead(now, read), () -> lease.readFailed(now));
    } else if (event instanceof HostEvent.LeaseWriteEnded ended) {
      lease(now, lease.written(now, ended.result()));
    } else if (event instanceof HostEvent.TableReadEnded ended) {
      coordinatorOfTerm(ended.term())
          .ifPresent(
              c ->
                  performCoordinatorEffects(
                      now, c.tableRead(now, ended.service(), ended.result())));
    } else if (event instanceof HostEvent.TableWriteEnded ended) {
      coordinatorOfTerm(ended.term())
          .ifPresent(
              c ->
                  performCoordinatorEffects(
                      now, c.tableWritten(now, ended.service(), ended.result())));
    } else if (event instanceof HostEvent.OrderEnded ended) {
      coordinatorOfTerm(ended.term())
          .ifPresent(
              c ->
                  performCoordinatorEffects(
                      now, c.orderEnded(now, ended.service(), ended.order(), ended.result())));
    } else {
      applyCatalogEvent(now, event);
    }
  }

  private void hostMessageReceived(long now, HostEvent.HostMessageReceived said) {
    if (coordinator.isPresent()) {
      performCoordinatorEffects(now, coordinator.get().receive(now, said.link(), said.message()));
    } else if (said.message() instanceof HostMessage.Hello) {
      pendingHellos.put(said.link(), said.message());
    }
  }

  private void applyCatalogEvent(long now, HostEvent event) {
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
    coordinator.ifPresent(
        c -> performCoordinatorEffects(now, c.tick(now, leased, lease.renewalLate(now))));
    boolean mayHandOver =
        leased
            && !stopping
            && now >= nextHandoverMillis
            && !lease.renewalLate(now)
            && catalog.complete();
    if (mayHandOver && coordinator.filter(c -> c.shouldHandOver(now)).isPresent()) {
      lease(now, lease.handOver(now));
    }
    performRequestEffects(now, requestFlow.tick(now));
  }

  private void watchCoordinator(long now) {
    boolean silent = now - lastMessageMillis > COORDINATOR_TIMEOUT_MILLIS;
    boolean unleased =
        now - lastLeaseHeldMillis > COORDINATOR_TIMEOUT_MILLIS + LEASE_LOSS_GRACE_MILLIS;
    boolean strong = !self.capacity().isUnknown() && !self.capacity().clearlyBelow(bestCapacity);
    boolean called = handingOver && (strong || coordinator.isPresent());
    if (announced.isEmpty() || !connected || silent || unleased || called) {
      lease(now, lease.challenge(now, leaseClaimDelayMillis()));
    } else {
      lease.withdraw();
    }
    boolean mine = coordinator.isPresent();
    if (announced.isPresent() && !mine && !connected && !connecting && now >= reconnectDueMillis) {
      connecting = true;
      reconnectDueMillis = now + RECONNECT_DELAY_MILLIS;
      pendingEffects.add(new HostEffect.Connect(knownTerm(), announced.get().address()));
    }
  }

  private void leaseRead(long now, LeaseRead read) {
    if (bestCapacity.isUnknown()) {
      // A host that has just started learns from the row whether it is weak.
      read.row().map(LeaseRow::best).ifPresent(this::updateBestCapacity);
      lease.yieldFor(leaseClaimDelayMillis());
    }
    lease(now, lease.read(now, read));
  }

  private void updateBestCapacity(HostCapacity capacity) {
    bestCapacity = capacity;
    lease.noteBest(capacity);
  }

  private long leaseClaimDelayMillis() {
    return self.capacity().clearlyBelow(bestCapacity) ? WEAK_HOST_DELAY_MILLIS : 0;
  }

  private void announced(long now, LeaseRow row) {
    // A row of an earlier start of this host names nobody who could answer.
    if (row.term() <= knownTerm() || row.address().equals(self.address())) {
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
    lastMessageMillis = now;
    lastLeaseHeldMillis = now;
    reconnectDueMillis = now;
  }

  private void resign(long now) {
    coordinator.ifPresent(
        c -> {
          log(LogEntry.of("coordinator-resigned").with("term", c.term()));
          pendingEffects.add(new HostEffect.DisconnectHosts());
        });
    if (coordinator.isPresent()) {
      coordinator = Optional.empty();
      performRequestEffects(now, requestFlow.coordinatorLost(now));
      connected = false;
    }
  }

  private void disconnect(long now) {
    if (connected || connecting) {
      pendingEffects.add(new HostEffect.Disconnect());
    }
    if (connected) {
      connected = false;
      performRequestEffects(now, requestFlow.coordinatorLost(now));
    }
    connecting = false;
  }

  private void coordinatorConnected(long now, long term) {
    if (coordinator.isPresent() || term != knownTerm()) {
      return;
    }
    connecting = false;
    joinCoordinator(now);
  }

  private void joinCoordinator(long now) {
    connected = true;
    lastMessageMillis = now;
    lastLeaseHeldMillis = now;
    handingOver = false;
    sendToCoordinator(now, new HostMessage.Hello(self.host(), self.dataCentre(), self.capacity()));
    performRequestEffects(now, requestFlow.coordinatorConnected(now));
    log(LogEntry.of("coordinator-joined").with("term", knownTerm()));
  }

  private void coordinatorDisconnected(long now, long term) {
    if (coordinator.isPresent() || term != knownTerm()) {
      return;
    }
    connecting = false;
    reconnectDueMillis = now + RECONNECT_DELAY_MILLIS;
    if (connected) {
      connected = false;
      log(LogEntry.failure("coordinator-lost").with("term", term));
      performRequestEffects(now, requestFlow.coordinatorLost(now));
    }
  }

  private void receiveFromCoordinator(long now, HostMessage message) {
    lastMessageMillis = now;
    if (message instanceof HostMessage.SlotGrant give) {
      performRequestEffects(
          now, requestFlow.given(now, give.requestNumber(), give.upstream(), give.fencingToken()));
    } else if (message instanceof HostMessage.SlotRefusal refuse) {
      performRequestEffects(
          now,
          requestFlow.refused(
              now, refuse.requestNumber(), refuse.retryAfterMillis(), refuse.reason()));
    } else if (message instanceof HostMessage.Heartbeat heartbeat) {
      if (heartbeat.leaseHeld()) {
        lastLeaseHeldMillis = now;
      }
      updateBestCapacity(heartbeat.bestCapacity());
      handingOver = heartbeat.handingOver();
      if (handingOver) {
        nextHandoverMillis = now + HANDOVER_COOLDOWN_MILLIS;
      }
      requestFlow.coordinatorHeard(now, heartbeat.term(), heartbeat.connectedHosts());
    } else if (message instanceof HostMessage.KeyMap map) {
      requestFlow.owners(map.service(), map.ownersByFirstKey());
    } else if (message instanceof HostMessage.KeyMapChange change) {
      requestFlow.ownersChanged(
          change.service(), change.changedOwnersByFirstKey(), change.mergedFirstKeys());
    }
  }

  private void lease(long now, List<LeaseEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof LeaseEffect.Won won) {
            startCoordinating(now, won.term());
          } else if (effect instanceof LeaseEffect.HeldByOther held) {
            announced(now, held.row());
          } else if (effect instanceof LeaseEffect.HandedOver given) {
            coordinatorOfTerm(given.term())
                .ifPresent(c -> performCoordinatorEffects(now, c.handedOver()));
          } else if (effect instanceof LeaseEffect.Lost lost) {
            log(
                LogEntry.failure("lease-lost")
                    .with("term", lost.term())
                    .with("reason", lost.reason()));
          } else {
            pendingEffects.add(new HostEffect.Lease(effect));
          }
        });
  }

  private void startCoordinating(long now, long term) {
    log(LogEntry.of("lease-won").with("term", term));
    boolean again = coordinator.filter(c -> c.term() == term).isPresent();
    if (again) {
      return;
    }
    disconnect(now);
    resign(now);
    announced = Optional.of(new LeaseRow(term, self.host(), self.address(), 0, bestCapacity));
    coordinator = Optional.of(new Coordinator(now, term, self, catalog));
    joinCoordinator(now);
    Coordinator leader = coordinator.get();
    pendingHellos.forEach(
        (link, hello) -> performCoordinatorEffects(now, leader.receive(now, link, hello)));
    pendingHellos.clear();
  }

  private void stop(long now) {
    stopping = true;
    log(LogEntry.of("stopping").with("requests", requestFlow.size()));
    lease(now, lease.giveUp(now));
  }

  private Optional<Coordinator> coordinatorOfTerm(long term) {
    return coordinator.filter(c -> c.term() == term);
  }

  private void performCoordinatorEffects(long now, List<HostEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof HostEffect.SendToHost tell && tell.link().equals(LOCAL_LINK)) {
            receiveFromCoordinator(now, tell.message());
          } else {
            pendingEffects.add(effect);
          }
        });
  }

  private void sendToCoordinator(long now, HostMessage message) {
    if (coordinator.isPresent()) {
      performCoordinatorEffects(now, coordinator.get().receive(now, LOCAL_LINK, message));
    } else if (connected) {
      pendingEffects.add(new HostEffect.SendToCoordinator(message));
    }
  }

  private void performRequestEffects(long now, List<RequestEffect> effects) {
    effects.forEach(effect -> performRequestEffect(now, effect));
  }

  private void performRequestEffect(long now, RequestEffect effect) {
    if (effect instanceof RequestEffect.AskSlot ask) {
      sendToCoordinator(
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
      sendToCoordinator(now, new HostMessage.Cancel(cancel.ask()));
    } else if (effect instanceof RequestEffect.FreeSlot free) {
      sendToCoordinator(
          now,
          new HostMessage.Done(
              free.ask(),
              free.upstream(),
              free.completion(),
              free.ranMillis(),
              free.workPercent()));
    } else if (effect instanceof RequestEffect.HoldSlot hold) {
      sendToCoordinator(
          now, new HostMessage.SlotInUse(hold.ask(), hold.service(), hold.key(), hold.upstream()));
    } else if (effect instanceof RequestEffect.Log line) {
      log(line.entry());
    } else {
      pendingEffects.add(new HostEffect.Request(effect));
    }
  }

  private long knownTerm() {
    return announced.map(LeaseRow::term).orElse(0L);
  }

  private void log(LogEntry entry) {
    pendingEffects.add(new HostEffect.Log(entry));
  }
}
