package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.lease.CoordinatorLease;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.lease.LeaseRead;
import dev.hornbeamwheel.core.host.lease.LeaseRow;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestFlow;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Handles all events of one entry host and returns the effects to carry out.
 *
 * <p>Every host serves callers; the one that holds the lease is also the coordinator. A host talks
 * to the coordinator over a connection, or by a direct call if it is the coordinator itself.
 *
 * <pre>{@code
 * HostNode node = HostNode.create(identity);
 * node.reduce(new HostEvent.RequestArrived(clock.millis(), ref, head)).forEach(performer);
 * }</pre>
 */
public final class HostNode implements Reducer<HostEvent, HostEffect> {
  /** Link on which the coordinator's own host is connected to it. */
  static final LinkId LOCAL_LINK = new LinkId(0);

  /** Delay before the next attempt to connect to the coordinator, in milliseconds. */
  static final long RECONNECT_DELAY_MILLIS = 300;

  private final HostIdentity self;
  private final Catalog catalog = Catalog.empty();
  private final Quarantine quarantine = Quarantine.empty();
  private final KnowledgeExchange knowledge = new KnowledgeExchange(catalog, quarantine);
  private final CatalogEvents catalogEvents = new CatalogEvents(catalog, this::log);
  private final CoordinatorLease lease;
  private final RequestFlow requestFlow;
  private final List<HostEffect> pendingEffects = new ArrayList<>();

  private Optional<LeaseRow> knownLease = Optional.empty();
  private Optional<Coordinator> coordinator = Optional.empty();

  /** Hellos of hosts that saw in the store the lease of this host before its write returned. */
  private final Map<LinkId, HostMessage> pendingHellos = new LinkedHashMap<>();

  private boolean connected;
  private boolean connecting;
  private long reconnectAtMillis;
  private final StandstillDetector standstill = new StandstillDetector();
  private final CoordinatorSilence silence = new CoordinatorSilence();
  private final CoordinatorWatch coordinatorWatch;
  private final LeaseCandidacy candidacy;
  private boolean stopping;

  private HostNode(HostIdentity self) {
    this.self = self;
    this.coordinatorWatch = new CoordinatorWatch(self.seed());
    this.candidacy = new LeaseCandidacy(self.capacity());
    this.lease = CoordinatorLease.create(self.host(), self.address(), self.seed());
    this.requestFlow =
        RequestFlow.create(
            catalog, quarantine, self.dataCentre(), self.seed(), self.plannedHosts());
  }

  /** Returns the reducer of a newly started entry host. */
  public static HostNode create(HostIdentity self) {
    return new HostNode(self);
  }

  /** Returns whether the host can serve callers and is not stopping. */
  public boolean ready() {
    return catalog.loaded() && !stopping;
  }

  /** Returns whether the process was asked to stop. */
  public boolean stopping() {
    return stopping;
  }

  /** Returns the number of requests in flight. */
  public int requestsInFlight() {
    return requestFlow.inFlightCount();
  }

  /** Returns the number of requests that wait for a slot. */
  public int requestsWaiting() {
    return requestFlow.waitingCount();
  }

  /** Returns what metrics and operators read from this host. */
  public HostInspection inspection() {
    return new HostInspection(catalog, quarantine, requestFlow, () -> coordinator);
  }

  /** Returns whether this host is the coordinator now. */
  public boolean coordinating() {
    return coordinator.isPresent();
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
    if (standstill.resumedAt(now)) {
      requestFlow.resumed(now);
    }
    Optional<List<RequestEffect>> requests = RequestEvents.apply(now, requestFlow, event);
    if (requests.isPresent()) {
      performRequests(now, requests.get());
    } else if (event instanceof HostEvent.Tick) {
      tick(now);
    } else if (event instanceof HostEvent.ClockAdvanced advanced) {
      log(LogEntry.of("clock-advanced").with("millis", advanced.millis()));
      coordinator.ifPresent(c -> c.clockAdvanced(advanced.millis()));
    } else if (event instanceof HostEvent.CoordinatorMessageReceived received) {
      if (connected && received.term() == knownTerm()) {
        receiveFromCoordinator(now, received.message());
      }
    } else if (event instanceof HostEvent.HostMessageReceived received) {
      hostMessageReceived(now, received);
    } else if (event instanceof HostEvent.Stopping stop) {
      requestFlow.shutdownStarted(stop.schedule());
      stop(now);
    } else {
      applyControlEvent(now, event);
    }
    updateCoordinatorWatch(now);
  }

  private void updateCoordinatorWatch(long now) {
    boolean remote = connected && coordinator.isEmpty();
    pendingEffects.addAll(
        coordinatorWatch.update(
            now, coordinator.isPresent(), remote, silence.lastLeaseHeldMillis()));
  }

  private void applyControlEvent(long now, HostEvent event) {
    if (event instanceof HostEvent.HostDisconnected disconnected) {
      pendingHellos.remove(disconnected.link());
      coordinator.ifPresent(c -> dispatch(now, c.hostDisconnected(now, disconnected.link())));
    } else if (event instanceof HostEvent.CoordinatorConnected established) {
      coordinatorConnected(now, established.term());
    } else if (event instanceof HostEvent.CoordinatorDisconnected disconnected) {
      coordinatorDisconnected(now, disconnected.term());
    } else if (event instanceof HostEvent.LeaseReadEnded ended) {
      ended.read().ifPresentOrElse(read -> leaseRead(now, read), () -> lease.readFailed(now));
    } else if (event instanceof HostEvent.LeaseWriteEnded ended) {
      performLease(now, lease.writeCompleted(now, ended.result()));
    } else if (event instanceof HostEvent.TableReadEnded ended) {
      coordinatorOf(ended.term())
          .ifPresent(c -> dispatch(now, c.tableRead(now, ended.service(), ended.result())));
    } else if (event instanceof HostEvent.TableWriteEnded ended) {
      coordinatorOf(ended.term())
          .ifPresent(c -> dispatch(now, c.tableWritten(now, lease.isLeader(now), ended)));
    } else if (event instanceof HostEvent.OrderEnded ended) {
      coordinatorOf(ended.term())
          .ifPresent(c -> dispatch(now, c.orderEnded(now, lease.isLeader(now), ended)));
    } else {
      applyCatalogEvent(now, event);
    }
  }

  private void hostMessageReceived(long now, HostEvent.HostMessageReceived received) {
    if (coordinator.isPresent()) {
      dispatch(now, coordinator.get().receive(now, received.link(), received.message()));
    } else if (received.message() instanceof HostMessage.Hello) {
      pendingHellos.put(received.link(), received.message());
      if (stopping) {
        turnHostsAway();
      }
    }
  }

  private void applyCatalogEvent(long now, HostEvent event) {
    if (event instanceof HostEvent.TableChangesRead read) {
      coordinator.ifPresent(c -> dispatch(now, c.tableChangesRead(now, read.changes())));
      return;
    }
    catalogEvents.apply(now, event);
    coordinator.ifPresent(Coordinator::catalogChanged);
  }

  private void tick(long now) {
    if (catalog.tick(now)) {
      coordinator.ifPresent(Coordinator::catalogChanged);
    }
    performLease(now, lease.tick(now));
    watchCoordinator(now);
    boolean leased = lease.isLeader(now);
    coordinator.ifPresent(c -> dispatch(now, c.tick(now, leased, lease.renewalOverdue(now))));
    boolean mayHandOver =
        leased
            && !stopping
            && candidacy.handoverAllowed(now)
            && !lease.renewalOverdue(now)
            && catalog.loaded();
    if (mayHandOver && coordinator.filter(c -> c.shouldHandOver(now)).isPresent()) {
      performLease(now, lease.handOver(now));
    }
    performRequests(now, requestFlow.tick(now));
  }

  /** Looks for the next coordinator if this one may not stay; a stopping host only follows it. */
  private void watchCoordinator(long now) {
    boolean local = coordinator.isPresent();
    boolean leaving = local && (stopping || candidacy.offered());
    boolean mayTakeOffer = candidacy.mayTakeOffer();
    if (knownLease.isEmpty() || !connected || silence.tooLong(now) || leaving || mayTakeOffer) {
      performLease(now, lease.acquire(now, candidacy.claimDelayMillis()));
    } else {
      lease.cancelAcquire();
    }
    if (knownLease.isPresent() && !local && !connected && !connecting && now >= reconnectAtMillis) {
      connecting = true;
      reconnectAtMillis = now + RECONNECT_DELAY_MILLIS;
      pendingEffects.add(new HostEffect.Connect(knownTerm(), knownLease.get().address()));
    }
  }

  private void leaseRead(long now, LeaseRead read) {
    read.row().map(LeaseRow::fleetSize).ifPresent(requestFlow.shares()::fleetSizeRead);
    if (candidacy.best().isUnknown()) {
      // Before its first heartbeat a host learns from the row whether a stronger host exists.
      read.row().map(LeaseRow::bestCapacity).ifPresent(this::updateBestCapacity);
      lease.updateAcquireDelay(candidacy.claimDelayMillis());
    }
    performLease(now, lease.readCompleted(now, read));
  }

  private void updateBestCapacity(HostCapacity capacity) {
    candidacy.bestCapacityReported(capacity);
    lease.updateBestCapacity(capacity);
  }

  private void followCoordinator(long now, LeaseRow row) {
    // A row that an earlier process of this host wrote names a coordinator that no longer runs.
    if (row.term() <= knownTerm() || row.address().equals(self.address())) {
      return;
    }
    knownLease = Optional.of(row);
    log(LeaseLog.followed(row));
    if (holderOf(row.term()).isPresent()) {
      return;
    }
    resign(now);
    disconnect(now);
    candidacy.offerEnded();
    silence.restarted(now);
    reconnectAtMillis = now;
  }

  private void resign(long now) {
    if (coordinator.isPresent()) {
      log(LogEntry.of("coordinator-resigned").with("term", coordinator.get().leaseTerm()));
      pendingEffects.add(new HostEffect.DisconnectHosts());
      coordinator = Optional.empty();
      performRequests(now, requestFlow.coordinatorLost(now));
      connected = false;
    }
  }

  private void disconnect(long now) {
    if (connected || connecting) {
      pendingEffects.add(new HostEffect.Disconnect());
    }
    if (connected) {
      connected = false;
      performRequests(now, requestFlow.coordinatorLost(now));
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
    coordinatorWatch.connectionEnded();
    connected = true;
    silence.restarted(now);
    candidacy.offerEnded();
    sendToCoordinator(now, hello());
    if (coordinator.isEmpty()) {
      knowledge.all(now).forEach(message -> sendToCoordinator(now, message));
    }
    performRequests(now, requestFlow.coordinatorConnected(now));
    log(LogEntry.of("coordinator-joined").with("term", knownTerm()));
  }

  /** Introduces this host; while it stops, no coordinator should hand over the lease to it. */
  private HostMessage.Hello hello() {
    HostCapacity capacity = stopping ? HostCapacity.unknown() : self.capacity();
    return new HostMessage.Hello(self.host(), self.dataCentre(), capacity);
  }

  private void coordinatorDisconnected(long now, long term) {
    if (coordinator.isPresent() || term != knownTerm()) {
      return;
    }
    connecting = false;
    reconnectAtMillis = now + RECONNECT_DELAY_MILLIS;
    if (connected) {
      connected = false;
      log(LogEntry.failure("coordinator-lost").with("term", term));
      performRequests(now, requestFlow.coordinatorLost(now));
    }
  }

  private void receiveFromCoordinator(long now, HostMessage message) {
    silence.messageReceived(now);
    Optional<List<RequestEffect>> slotEffects = SlotMessages.deliver(now, message, requestFlow);
    if (slotEffects.isPresent()) {
      performRequests(now, slotEffects.get());
    } else if (message instanceof HostMessage.Heartbeat heartbeat) {
      if (heartbeat.leaseHeld()) {
        silence.leaseReported(now);
      }
      if (coordinator.isEmpty()) {
        pendingEffects.addAll(coordinatorWatch.confirmed(now, heartbeat.confirmations()));
      }
      updateBestCapacity(heartbeat.bestCapacity());
      coordinator.ifPresent(c -> lease.updateFleetSize(c.fleetSize(now)));
      if (candidacy.offerReported(now, heartbeat.handingOver())) {
        lease.offered(now);
      }
      requestFlow.heartbeatReceived(now, heartbeat.term(), heartbeat.connectedHosts());
      heartbeat.coldLease().ifPresent(cold -> requestFlow.coldAllowance().granted(now, cold));
      heartbeat.shareLease().ifPresent(requestFlow.shares()::granted);
    } else if (message instanceof HostMessage.KeyMap map) {
      requestFlow.owners(map.service()).replaceAll(map.ownersByFirstKey());
    } else if (message instanceof HostMessage.KeyMapChange change) {
      requestFlow
          .owners(change.service())
          .update(change.changedOwnersByFirstKey(), change.mergedFirstKeys());
    } else if (message instanceof HostMessage.UpstreamLimits learned) {
      requestFlow.hostLimits().replaceAll(learned.limits());
    } else if (message instanceof HostMessage.CrashEvidence crashes) {
      performRequests(now, requestFlow.evidenceReceived(now, crashes.evidence()));
    } else if (message instanceof HostMessage.CatalogChange change) {
      pendingEffects.add(new HostEffect.TakeOverChanges(change.changes()));
    } else {
      var unused = knowledge.takeOver(now, message);
    }
  }

  private void performLease(long now, List<LeaseEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof LeaseEffect.Won won) {
            startCoordinating(now, won.term());
          } else if (effect instanceof LeaseEffect.Continued continued) {
            log(LeaseLog.continued(continued));
            knownLease = Optional.of(ownLease(continued.term()));
            coordinator.ifPresent(c -> c.continueWith(continued.term()));
          } else if (effect instanceof LeaseEffect.HeldByOther held) {
            followCoordinator(now, held.row());
          } else if (effect instanceof LeaseEffect.HandedOver handedOver) {
            log(LogEntry.of("lease-released").with("term", handedOver.term()));
            holderOf(handedOver.term()).ifPresent(c -> dispatch(now, c.handedOver()));
          } else if (effect instanceof LeaseEffect.Lost lost) {
            log(LeaseLog.lost(lost));
          } else {
            pendingEffects.add(new HostEffect.Lease(effect));
          }
        });
  }

  private void startCoordinating(long now, long term) {
    log(LogEntry.of("lease-won").with("term", term));
    if (holderOf(term).isPresent()) {
      return;
    }
    disconnect(now);
    resign(now);
    knownLease = Optional.of(ownLease(term));
    Coordinator started = new Coordinator(now, term, self, catalog, knowledge, lease::isLeader);
    started.fleetSizeRead(lease.fleetSize());
    started.toldOwners(requestFlow::owners);
    coordinator = Optional.of(started);
    joinCoordinator(now);
    pendingHellos.forEach((link, hello) -> dispatch(now, started.receive(now, link, hello)));
    pendingHellos.clear();
  }

  private LeaseRow ownLease(long term) {
    return new LeaseRow(term, self.host(), self.address(), 0, candidacy.best(), 0);
  }

  private void stop(long now) {
    stopping = true;
    log(
        LogEntry.of("stopping")
            .with("requests", requestFlow.inFlightCount())
            .with("waiting", requestFlow.waitingCount())
            .with("coordinating", coordinator.isPresent() ? 1 : 0)
            .with("term", knownTerm()));
    performLease(now, lease.release(now));
    if (coordinator.isEmpty() && connected) {
      sendToCoordinator(now, hello());
    }
    if (!pendingHellos.isEmpty()) {
      turnHostsAway();
    }
  }

  /** Disconnects the hosts that wait for a term of this host which will not begin. */
  private void turnHostsAway() {
    pendingHellos.clear();
    pendingEffects.add(new HostEffect.DisconnectHosts());
  }

  private Optional<Coordinator> coordinatorOf(long term) {
    return coordinator.filter(c -> c.term() == term);
  }

  /** Returns the coordinator of this host if its lease has a term. */
  private Optional<Coordinator> holderOf(long leaseTerm) {
    return coordinator.filter(c -> c.leaseTerm() == leaseTerm);
  }

  private void dispatch(long now, List<HostEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof HostEffect.SendToHost send && send.link().equals(LOCAL_LINK)) {
            receiveFromCoordinator(now, send.message());
          } else {
            pendingEffects.add(effect);
          }
        });
  }

  private void sendToCoordinator(long now, HostMessage message) {
    if (coordinator.isPresent()) {
      dispatch(now, coordinator.get().receive(now, LOCAL_LINK, message));
    } else if (connected) {
      pendingEffects.add(new HostEffect.SendToCoordinator(message));
    }
  }

  private void performRequests(long now, List<RequestEffect> effects) {
    effects.forEach(effect -> performRequest(now, effect));
  }

  private void performRequest(long now, RequestEffect effect) {
    Optional<HostMessage> message = SlotMessages.of(effect);
    if (message.isPresent()) {
      sendToCoordinator(now, message.get());
    } else if (effect instanceof RequestEffect.Log line) {
      log(line.entry());
    } else {
      KnowledgeExchange.messageOf(effect)
          .ifPresentOrElse(
              learnt -> share(now, learnt),
              () -> pendingEffects.add(new HostEffect.Request(effect)));
    }
  }

  /** Sends what this host has learnt to all others, through the coordinator. */
  private void share(long now, HostMessage message) {
    if (coordinator.isPresent()) {
      dispatch(now, coordinator.get().share(message));
    } else {
      sendToCoordinator(now, message);
    }
  }

  private long knownTerm() {
    return knownLease.map(LeaseRow::term).orElse(0L);
  }

  private void log(LogEntry entry) {
    pendingEffects.add(new HostEffect.Log(entry));
  }
}
