package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.keys.KeyDemand;
import dev.hornbeamwheel.core.host.keys.KeyEffect;
import dev.hornbeamwheel.core.host.keys.KeyOwnerCache;
import dev.hornbeamwheel.core.host.keys.KeyedService;
import dev.hornbeamwheel.core.host.keys.TableReadResult;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.organisations.CoordinatorQuotas;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.host.slots.SlotBroker;
import dev.hornbeamwheel.core.host.slots.SlotEffect;
import dev.hornbeamwheel.core.host.slots.SlotExplainer;
import dev.hornbeamwheel.core.host.slots.SlotRequest;
import dev.hornbeamwheel.core.host.slots.SlotRequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongPredicate;

/** Grants slots to all hosts and assigns owners to all keys during one term of the coordinator. */
final class Coordinator {
  /** Interval between heartbeats to each host, in milliseconds. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 200;

  /** Interval between rounds that publish changed owners to the hosts, in milliseconds. */
  static final long KEY_MAP_INTERVAL_MILLIS = 200;

  /** Minimum length of a term before the lease is handed to a stronger host, in milliseconds. */
  static final long MIN_TERM_MILLIS = 5_000;

  private final long term;
  private final HostIdentity self;
  private final Catalog catalog;
  private final KnowledgeExchange knowledge;
  private final SlotBroker broker;
  private final CoordinatorQuotas quotas;
  private final QuotaMessages quotaMessages;
  private final HostLeases hostLeases;
  private final ConnectedHosts connectedHosts = new ConnectedHosts();
  private final Map<ServiceId, KeyedService> keyedServices = new HashMap<>();
  private final LeaseAbsence leaseAbsence = new LeaseAbsence();
  private final Map<ServiceId, KeyDemand> keyDemands = new HashMap<>();
  private final Map<ServiceId, KeyMapPublisher> keyMapPublishers = new HashMap<>();
  private final Map<ServiceId, Long> publishedRevisions = new HashMap<>();
  private final LimitPublisher limitPublisher;
  private final TablePublisher tablePublisher = new TablePublisher(this::sendToHost);
  private final List<HostEffect> pendingEffects = new ArrayList<>();
  private final LongPredicate holdsLease;
  private final long termStartMillis;
  private long leaseTerm;
  private Function<ServiceId, KeyOwnerCache> toldOwners = service -> KeyOwnerCache.empty();
  private boolean handedOver;
  private long heartbeatDueMillis;
  private long keyMapDueMillis;
  private long slotRequests;
  private long slotGrants;
  private long slotRefusals;
  private long keyOrders;
  private long nowMillis;
  private boolean storeDoubtfulAtLastTick;

  /**
   * Creates the coordinator of a term that starts now.
   *
   * @param holdsLease whether this process certainly holds the coordinator's lease at a time, in
   *     milliseconds
   */
  Coordinator(
      long nowMillis,
      long term,
      HostIdentity self,
      Catalog catalog,
      KnowledgeExchange knowledge,
      LongPredicate holdsLease) {
    this.term = term;
    this.leaseTerm = term;
    this.quotas =
        CoordinatorQuotas.startTerm(nowMillis, term == 1, catalog::organisations, holdsLease);
    this.quotaMessages = new QuotaMessages(quotas, connectedHosts, this::sendToHost);
    this.knowledge = knowledge;
    this.self = self;
    this.catalog = catalog;
    this.broker =
        SlotBroker.create(
            catalog,
            new KeyOwners(keyedServices, leaseAbsence),
            holdsLease,
            self.minLearnedSlots());
    this.hostLeases = new HostLeases(nowMillis, connectedHosts, broker, holdsLease);
    this.limitPublisher = new LimitPublisher(nowMillis);
    this.holdsLease = holdsLease;
    this.nowMillis = nowMillis;
    this.termStartMillis = nowMillis;
  }

  long term() {
    return term;
  }

  /** Takes over the number of hosts that the lease row names. */
  void fleetSizeRead(int size) {
    quotas.fleetSizeRead(size);
    hostLeases.fleetSizeRead(nowMillis, size);
  }

  /** Returns the number of hosts of the fleet; zero if it is not known yet. */
  int fleetSize(long now) {
    return hostLeases.fleetSize(now);
  }

  /** Returns the term of the lease; later than that of the start if the store was restored. */
  long leaseTerm() {
    return leaseTerm;
  }

  /**
   * Sets the source of the owners that this host was told before the term; they are used if the
   * stored tables may be outdated.
   */
  void toldOwners(Function<ServiceId, KeyOwnerCache> owners) {
    toldOwners = owners;
  }

  /** Goes on after the store was restored to an earlier state, with a later term of the lease. */
  void continueWith(long laterTerm) {
    leaseTerm = laterTerm;
    keyedServices.values().forEach(KeyedService::storeRestored);
  }

  /** Returns an explainer of the decisions for slot requests, which changes no state. */
  SlotExplainer slotExplainer() {
    return broker.explainer();
  }

  /** Returns the counters of this term and the current queue length. */
  CoordinatorStatistics statistics() {
    int waitingRequests =
        catalog.configuration().map(FleetConfiguration::services).orElse(Set.of()).stream()
            .mapToInt(broker::waitingCount)
            .sum();
    return new CoordinatorStatistics(
        term,
        connectedHosts.size(),
        slotRequests,
        slotGrants,
        slotRefusals,
        keyOrders,
        waitingRequests,
        broker.statistics());
  }

  /** Handles a message from a host. */
  List<HostEffect> receive(long now, LinkId link, HostMessage message) {
    nowMillis = now;
    if (message instanceof HostMessage.Hello hello) {
      connectedHosts.add(now, link, hello);
      keyMapPublishers.values().forEach(publisher -> publisher.addHost(link));
      sendToHost(link, heartbeat(holdsLease.test(now)));
      limitPublisher.hostConnected(link, this::sendToHost);
      if (!link.equals(HostNode.LOCAL_LINK)) {
        tablePublisher.hostConnected(link);
        knowledge.all(now).forEach(known -> sendToHost(link, known));
      }
    } else if (message instanceof HostMessage.SlotRequest request) {
      slotRequests++;
      HostLeases.Renewed renewed = hostLeases.renew(now, link, request);
      if (renewed.any()) {
        sendToHost(link, heartbeat(true, renewed));
      }
      if (quotaMessages.admitsRequest(now, link, request)) {
        sendSlotEffects(broker.requestSlot(now, toBrokerRequest(now, link, request)));
      }
    } else if (message instanceof HostMessage.Cancel cancel) {
      SlotRequestId ticket = new SlotRequestId(link, cancel.requestNumber());
      quotas.returnTokens(ticket);
      sendSlotEffects(broker.cancel(now, ticket));
    } else if (message instanceof HostMessage.Done done) {
      SlotRequestId ticket = new SlotRequestId(link, done.requestNumber());
      quotas.ended(ticket, done.completion(), done.durationMillis());
      sendSlotEffects(
          broker.release(
              now,
              ticket,
              done.upstream(),
              done.completion(),
              done.durationMillis(),
              done.workPercent()));
    } else if (message instanceof HostMessage.RequestQuotaLease asked) {
      quotaMessages.leaseRequested(now, link, asked.request());
    } else if (message instanceof HostMessage.SlotInUse inUse) {
      broker.recordHeldSlot(now, new SlotRequestId(link, inUse.requestNumber()), inUse.upstream());
    } else {
      knowledge.takeOver(now, message).ifPresent(this::sendToAll);
    }
    return drain();
  }

  /** Sends what this host has learnt of requests and upstreams to all other hosts. */
  List<HostEffect> share(HostMessage learnt) {
    sendToAll(learnt);
    return drain();
  }

  private void sendToAll(HostMessage learnt) {
    if (learnt instanceof HostMessage.UpstreamsLeaving) {
      catalogChanged();
    }
    connectedHosts.links().forEach(link -> sendToHost(link, learnt));
  }

  /** Removes a host whose connection was closed, with its slot requests. */
  List<HostEffect> hostDisconnected(long now, LinkId link) {
    nowMillis = now;
    quotaMessages.hostDisconnected(now, link);
    connectedHosts.remove(link);
    keyMapPublishers.values().forEach(publisher -> publisher.removeHost(link));
    sendSlotEffects(broker.hostDisconnected(now, link));
    return drain();
  }

  /**
   * Returns whether a clearly stronger host should take over now, which requires that no keys are
   * about to change their owner.
   */
  boolean shouldHandOver(long now) {
    return now - termStartMillis >= MIN_TERM_MILLIS
        && self.capacity().isMuchLowerThan(connectedHosts.bestStableCapacity(now))
        && keyedServices.values().stream().allMatch(KeyedService::stable);
  }

  /** Informs all hosts that the lease was given up for another host; no key changes afterwards. */
  List<HostEffect> handedOver() {
    handedOver = true;
    HostMessage heartbeat = heartbeat(false);
    connectedHosts.links().forEach(link -> sendToHost(link, heartbeat));
    return drain();
  }

  /** Records that the local clock has advanced by a time that may not have passed. */
  void clockAdvanced(long millis) {
    keyedServices.values().forEach(keyedService -> keyedService.clockAdvanced(millis));
  }

  /** Sends changes of a table, which this host has read from the store, to all other hosts. */
  List<HostEffect> tableChangesRead(long now, TableChanges changes) {
    tablePublisher.publish(now, changes, connectedHosts.links());
    return drain();
  }

  /** Handles a change of the upstreams, the evacuated data centres or the configuration. */
  void catalogChanged() {
    keyedServices.values().forEach(KeyedService::upstreamsChanged);
  }

  /**
   * Carries out all work that is due.
   *
   * @param leaseHeld whether this process certainly holds the lease; otherwise no orders are sent
   *     and no key tables are read or written
   * @param storeDoubtful whether the store may be unreachable
   */
  List<HostEffect> tick(long now, boolean leaseHeld, boolean storeDoubtful) {
    nowMillis = now;
    storeDoubtfulAtLastTick = storeDoubtful;
    leaseAbsence.update(now, leaseHeld);
    startKeyedServices(now);
    if (leaseHeld) {
      keyedServices.forEach(
          (service, keyedService) ->
              performKeyEffects(service, keyedService.tick(now, storeDoubtful)));
    }
    sendSlotEffects(broker.tick(now));
    quotaMessages.tick(now).ifPresent(pendingEffects::add);
    if (now >= keyMapDueMillis) {
      keyMapDueMillis = now + KEY_MAP_INTERVAL_MILLIS;
      keyedServices.forEach(this::publishKeyMap);
    }
    if (now >= heartbeatDueMillis) {
      heartbeatDueMillis = now + HEARTBEAT_INTERVAL_MILLIS;
      HostMessage heartbeat = heartbeat(leaseHeld);
      connectedHosts.links().forEach(link -> sendToHost(link, heartbeat));
      publishLimits(now);
    }
    return drain();
  }

  List<HostEffect> tableRead(long now, ServiceId service, TableReadResult result) {
    applyKeyEvent(now, service, keyedService -> keyedService.tableRead(now, result));
    return drain();
  }

  /**
   * Handles the end of a write of a key table.
   *
   * @param leaseHeld whether this process certainly holds the lease
   */
  List<HostEffect> tableWritten(long now, boolean leaseHeld, HostEvent.TableWriteEnded ended) {
    applyKeyEvent(
        now, ended.service(), keyedService -> keyedService.tableWritten(now, ended.result()));
    return continueHandOvers(now, leaseHeld, ended.service());
  }

  /**
   * Handles the end of an order to an upstream.
   *
   * @param leaseHeld whether this process certainly holds the lease
   */
  List<HostEffect> orderEnded(long now, boolean leaseHeld, HostEvent.OrderEnded ended) {
    applyKeyEvent(
        now,
        ended.service(),
        keyedService -> keyedService.orderEnded(now, ended.order(), ended.result()));
    return continueHandOvers(now, leaseHeld, ended.service());
  }

  /** Takes the next steps of hand-overs at once, as their keys have no holder meanwhile. */
  private List<HostEffect> continueHandOvers(long now, boolean leaseHeld, ServiceId service) {
    Optional.ofNullable(keyedServices.get(service))
        .filter(keyedService -> leaseHeld && keyedService.handOverDue())
        .ifPresent(
            keyedService ->
                performKeyEffects(service, keyedService.tick(now, storeDoubtfulAtLastTick)));
    return drain();
  }

  private void applyKeyEvent(
      long now, ServiceId service, Function<KeyedService, List<KeyEffect>> event) {
    nowMillis = now;
    KeyedService keyedService = keyedServices.get(service);
    if (keyedService != null) {
      long revisionBefore = keyedService.revision();
      performKeyEffects(service, event.apply(keyedService));
      if (keyedService.revision() != revisionBefore) {
        sendSlotEffects(broker.ownersChanged(now, service));
      }
    }
  }

  private void startKeyedServices(long now) {
    catalog.configuration().map(FleetConfiguration::keyedServices).orElse(List.of()).stream()
        .map(ServiceSpec::id)
        .filter(service -> !keyedServices.containsKey(service))
        .forEach(
            service -> {
              KeyDemand demand = KeyDemand.empty();
              keyDemands.put(service, demand);
              KeyMapPublisher publisher = new KeyMapPublisher(service);
              connectedHosts.links().forEach(publisher::addHost);
              keyMapPublishers.put(service, publisher);
              KeyedService started =
                  KeyedService.startTerm(
                      now,
                      service,
                      catalog,
                      entry -> broker.requestsPerSecond(nowMillis, entry),
                      demand,
                      self.holdMaxMillis());
              started.toldOwners(toldOwners.apply(service));
              keyedServices.put(service, started);
            });
  }

  /** Converts the request of a host, and counts it in the demand for its key. */
  private SlotRequest toBrokerRequest(long now, LinkId link, HostMessage.SlotRequest request) {
    request
        .key()
        .ifPresent(
            key ->
                Optional.ofNullable(keyDemands.get(request.service()))
                    .ifPresent(demand -> demand.add(now, key)));
    return new SlotRequest(
        link,
        request.requestNumber(),
        connectedHosts.dataCentre(link).orElse(self.dataCentre()),
        request.service(),
        request.key(),
        request.priority(),
        request.trafficClass(),
        now,
        now + request.deadlineMillis(),
        now + request.targetMillis(),
        request.largeResponse(),
        request.suspect(),
        request.excludedUpstreams());
  }

  private void performKeyEffects(ServiceId service, List<KeyEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof KeyEffect.Note note) {
            pendingEffects.add(
                new HostEffect.Log(
                    LogEntry.of(note.decision())
                        .with("term", term)
                        .with("service", service.value())
                        .with("subject", note.subject())
                        .with("reason", note.reason())));
          } else {
            boolean isOrder =
                effect instanceof KeyEffect.Grant || effect instanceof KeyEffect.Release;
            keyOrders += isOrder ? 1 : 0;
            pendingEffects.add(new HostEffect.Keys(term, service, effect));
          }
        });
  }

  /** Sends effects; a grant beyond a quota is cancelled, which may grant the slot to another. */
  private void sendSlotEffects(List<SlotEffect> effects) {
    Deque<SlotEffect> pending = new ArrayDeque<>(effects);
    while (!pending.isEmpty()) {
      SlotEffect effect = pending.removeFirst();
      SlotRequestId id = effect.slotRequestId();
      if (effect instanceof SlotEffect.Grant && !quotaMessages.admitsGrant(nowMillis, id)) {
        pending.addAll(broker.cancel(nowMillis, id));
      } else {
        sendSlotEffect(id, effect);
      }
    }
  }

  private void sendSlotEffect(SlotRequestId id, SlotEffect effect) {
    if (effect instanceof SlotEffect.Grant) {
      slotGrants++;
    } else {
      quotas.returnTokens(id);
      slotRefusals++;
    }
    sendToHost(id.link(), SlotMessages.of(effect));
  }

  private void publishKeyMap(ServiceId service, KeyedService keyedService) {
    KeyMapPublisher publisher = keyMapPublishers.get(service);
    boolean changed =
        !Long.valueOf(keyedService.revision()).equals(publishedRevisions.get(service));
    if (keyedService.loaded() && (changed || publisher.hasHostsWithoutMap())) {
      publishedRevisions.put(service, keyedService.revision());
      publisher.publish(keyedService.assignments(), this::sendToHost);
    }
  }

  private void publishLimits(long now) {
    if (limitPublisher.due(now)) {
      limitPublisher.publish(now, broker.loweredLimits(), connectedHosts.links(), this::sendToHost);
      LimitPublisher.logEntries(term, broker.drainLimitChanges())
          .forEach(entry -> pendingEffects.add(new HostEffect.Log(entry)));
    }
  }

  private HostMessage heartbeat(boolean leaseHeld) {
    return heartbeat(leaseHeld, HostLeases.Renewed.nothing());
  }

  private HostMessage heartbeat(boolean leaseHeld, HostLeases.Renewed renewed) {
    return new HostMessage.Heartbeat(
        leaseTerm,
        leaseHeld && !handedOver,
        connectedHosts.size(),
        handedOver
            ? connectedHosts.bestCapacityBeside(HostNode.LOCAL_LINK)
            : connectedHosts.bestCapacity(),
        handedOver,
        tablePublisher.confirmations(nowMillis),
        renewed.coldLease(),
        renewed.shareLease());
  }

  private void sendToHost(LinkId link, HostMessage message) {
    pendingEffects.add(new HostEffect.SendToHost(link, message));
  }

  private List<HostEffect> drain() {
    List<HostEffect> effects = List.copyOf(pendingEffects);
    pendingEffects.clear();
    return effects;
  }
}
