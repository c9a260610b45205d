package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.keys.KeyDemand;
import dev.hornbeamwheel.core.host.keys.KeyEffect;
import dev.hornbeamwheel.core.host.keys.KeyedService;
import dev.hornbeamwheel.core.host.keys.OrderResult;
import dev.hornbeamwheel.core.host.keys.TableRead;
import dev.hornbeamwheel.core.host.keys.TableWrite;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.slots.Ask;
import dev.hornbeamwheel.core.host.slots.KeyLookup;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.host.slots.SlotBroker;
import dev.hornbeamwheel.core.host.slots.SlotEffect;
import dev.hornbeamwheel.core.host.slots.Ticket;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** The work of the coordinator during one term: slots for all hosts, owners for all keys. */
final class Coordinator {
  /** Time between two heartbeats to each host, in milliseconds. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 200;

  /** Time between two rounds that tell hosts which owners changed, in milliseconds. */
  static final long KEY_MAP_INTERVAL_MILLIS = 200;

  /** A term that is shorter is not ended for a stronger host, in milliseconds. */
  static final long MIN_TERM_MILLIS = 5_000;

  private final long term;
  private final HostIdentity self;
  private final Catalog catalog;
  private final SlotBroker broker;
  private final ConnectedHosts connectedHosts = new ConnectedHosts();
  private final Map<ServiceId, KeyedService> keyedServices = new HashMap<>();
  private final Map<ServiceId, KeyDemand> keyDemands = new HashMap<>();
  private final Map<ServiceId, KeyMapPublisher> keyMapPublishers = new HashMap<>();
  private final Map<ServiceId, Long> publishedRevisions = new HashMap<>();
  private final List<HostEffect> pendingEffects = new ArrayList<>();
  private final long termStartMillis;
  private boolean handedOver;
  private long heartbeatDueMillis;
  private long keyMapDueMillis;
  private long slotRequests;
  private long slotGrants;
  private long slotRefusals;
  private long keyOrders;
  private long nowMillis;

  Coordinator(long nowMillis, long term, HostIdentity self, Catalog catalog) {
    this.term = term;
    this.self = self;
    this.catalog = catalog;
    this.broker = SlotBroker.create(catalog, new KeyOwners());
    this.nowMillis = nowMillis;
    this.termStartMillis = nowMillis;
  }

  long term() {
    return term;
  }

  /** Returns what was done in this term. */
  CoordinatorStatistics statistics() {
    int waiting =
        catalog.configuration().map(FleetConfiguration::services).orElse(Set.of()).stream()
            .mapToInt(broker::waiting)
            .sum();
    return new CoordinatorStatistics(
        term, connectedHosts.size(), slotRequests, slotGrants, slotRefusals, keyOrders, waiting);
  }

  /** Takes a message of a host. */
  List<HostEffect> receive(long now, LinkId link, HostMessage message) {
    nowMillis = now;
    if (message instanceof HostMessage.Hello hello) {
      connectedHosts.add(now, link, hello);
      keyMapPublishers.values().forEach(owners -> owners.addHost(link));
      sendToHost(link, heartbeat(true));
    } else if (message instanceof HostMessage.SlotRequest ask) {
      slotRequests++;
      sendSlotEffects(broker.ask(now, toBrokerRequest(now, link, ask)));
    } else if (message instanceof HostMessage.Cancel cancel) {
      sendSlotEffects(broker.cancel(now, new Ticket(link, cancel.requestNumber())));
    } else if (message instanceof HostMessage.Done done) {
      Ticket ticket = new Ticket(link, done.requestNumber());
      sendSlotEffects(
          broker.done(
              now,
              ticket,
              done.upstream(),
              done.completion(),
              done.durationMillis(),
              done.workPercent()));
    } else if (message instanceof HostMessage.SlotInUse hold) {
      broker.hold(now, new Ticket(link, hold.requestNumber()), hold.upstream());
    }
    return drain();
  }

  /** Forgets a host whose connection ended. */
  List<HostEffect> hostDisconnected(long now, LinkId link) {
    nowMillis = now;
    connectedHosts.remove(link);
    keyMapPublishers.values().forEach(owners -> owners.removeHost(link));
    sendSlotEffects(broker.dropLink(now, link));
    return drain();
  }

  /**
   * Returns whether a clearly stronger host should coordinate, and the change would meet no keys
   * that are about to change their owner.
   */
  boolean shouldHandOver(long now) {
    return now - termStartMillis >= MIN_TERM_MILLIS
        && self.capacity().clearlyBelow(connectedHosts.bestStableCapacity(now))
        && keyedServices.values().stream().allMatch(KeyedService::settled);
  }

  /** Tells all hosts that the lease was given up for a stronger one; no keys are touched again. */
  List<HostEffect> handedOver() {
    handedOver = true;
    HostMessage heartbeat = heartbeat(false);
    connectedHosts.links().forEach(link -> sendToHost(link, heartbeat));
    return drain();
  }

  /** Notes that upstreams, evacuations or the configuration changed. */
  void catalogChanged() {
    keyedServices.values().forEach(KeyedService::upstreamsChanged);
  }

  /**
   * Does what is due.
   *
   * @param leased whether this process surely holds the lease; without it, no keys are touched
   * @param storeDoubtful whether the store may be away
   */
  List<HostEffect> tick(long now, boolean leased, boolean storeDoubtful) {
    nowMillis = now;
    startKeyedServices(now);
    if (leased) {
      keyedServices.forEach(
          (service, owners) -> performKeyEffects(service, owners.tick(now, storeDoubtful)));
    }
    sendSlotEffects(broker.tick(now));
    if (now >= keyMapDueMillis) {
      keyMapDueMillis = now + KEY_MAP_INTERVAL_MILLIS;
      keyedServices.forEach(this::publishKeyMap);
    }
    if (now >= heartbeatDueMillis) {
      heartbeatDueMillis = now + HEARTBEAT_INTERVAL_MILLIS;
      HostMessage heartbeat = heartbeat(leased);
      connectedHosts.links().forEach(link -> sendToHost(link, heartbeat));
    }
    return drain();
  }

  List<HostEffect> tableRead(long now, ServiceId service, TableRead result) {
    return applyKeyEvent(now, service, owners -> owners.tableRead(now, result));
  }

  List<HostEffect> tableWritten(long now, ServiceId service, TableWrite result) {
    return applyKeyEvent(now, service, owners -> owners.tableWritten(now, result));
  }

  List<HostEffect> orderEnded(long now, ServiceId service, long order, OrderResult result) {
    return applyKeyEvent(now, service, owners -> owners.orderEnded(now, order, result));
  }

  private List<HostEffect> applyKeyEvent(
      long now, ServiceId service, Function<KeyedService, List<KeyEffect>> event) {
    nowMillis = now;
    KeyedService owners = keyedServices.get(service);
    if (owners != null) {
      long before = owners.revision();
      performKeyEffects(service, event.apply(owners));
      if (owners.revision() != before) {
        sendSlotEffects(broker.ownersChanged(now, service));
      }
    }
    return drain();
  }

  private void startKeyedServices(long now) {
    catalog.configuration().map(FleetConfiguration::keyedServices).orElse(List.of()).stream()
        .map(ServiceSpec::id)
        .filter(service -> !keyedServices.containsKey(service))
        .forEach(
            service -> {
              KeyDemand demand = KeyDemand.none();
              keyDemands.put(service, demand);
              KeyMapPublisher owners = new KeyMapPublisher(service);
              connectedHosts.links().forEach(owners::addHost);
              keyMapPublishers.put(service, owners);
              keyedServices.put(
                  service,
                  KeyedService.startTerm(
                      now,
                      service,
                      catalog,
                      entry -> broker.requestsPerSecond(nowMillis, entry),
                      demand,
                      self.holdMaxMillis()));
            });
  }

  private Ask toBrokerRequest(long now, LinkId link, HostMessage.SlotRequest ask) {
    ask.key()
        .ifPresent(
            key ->
                Optional.ofNullable(keyDemands.get(ask.service()))
                    .ifPresent(demand -> demand.add(now, key)));
    return new Ask(
        link,
        ask.requestNumber(),
        connectedHosts.dataCentre(link).orElse(self.dataCentre()),
        ask.service(),
        ask.key(),
        ask.priority(),
        now,
        now + ask.deadlineMillis(),
        now + ask.targetMillis(),
        ask.largeResponse(),
        ask.excludedUpstreams());
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
            boolean order =
                effect instanceof KeyEffect.Grant || effect instanceof KeyEffect.Release;
            keyOrders += order ? 1 : 0;
            pendingEffects.add(new HostEffect.Keys(term, service, effect));
          }
        });
  }

  private void sendSlotEffects(List<SlotEffect> effects) {
    effects.forEach(
        effect -> {
          LinkId link = effect.ticket().link();
          long ask = effect.ticket().ask();
          if (effect instanceof SlotEffect.Give give) {
            slotGrants++;
            sendToHost(link, new HostMessage.SlotGrant(ask, give.upstream(), give.fence()));
          } else if (effect instanceof SlotEffect.Refuse refuse) {
            slotRefusals++;
            sendToHost(
                link, new HostMessage.SlotRefusal(ask, refuse.retryAfterMillis(), refuse.reason()));
          }
        });
  }

  private void publishKeyMap(ServiceId service, KeyedService owners) {
    KeyMapPublisher hosts = keyMapPublishers.get(service);
    boolean changed = !Long.valueOf(owners.revision()).equals(publishedRevisions.get(service));
    if (owners.loaded() && (changed || hosts.hasHostsWithoutMap())) {
      publishedRevisions.put(service, owners.revision());
      hosts.publish(owners.owners(), this::sendToHost);
    }
  }

  private HostMessage heartbeat(boolean leased) {
    return new HostMessage.Heartbeat(
        term,
        leased && !handedOver,
        connectedHosts.size(),
        connectedHosts.bestCapacity(),
        handedOver);
  }

  private void sendToHost(LinkId link, HostMessage message) {
    pendingEffects.add(new HostEffect.SendToHost(link, message));
  }

  private List<HostEffect> drain() {
    List<HostEffect> effects = List.copyOf(pendingEffects);
    pendingEffects.clear();
    return effects;
  }

  private final class KeyOwners implements KeyLookup {
    @Override
    public Optional<UpstreamId> holder(long now, ServiceId service, int key) {
      return Optional.ofNullable(keyedServices.get(service))
          .flatMap(owners -> owners.holder(now, key));
    }

    @Override
    public Optional<UpstreamId> owner(ServiceId service, int key) {
      return Optional.ofNullable(keyedServices.get(service)).flatMap(owners -> owners.owner(key));
    }

    @Override
    public long fence(ServiceId service, int key) {
      return Optional.ofNullable(keyedServices.get(service))
          .map(owners -> owners.fence(key))
          .orElse(0L);
    }

    @Override
    public long readyMillis(long now, ServiceId service, int key) {
      return Optional.ofNullable(keyedServices.get(service))
          .map(owners -> owners.readyMillis(now, key))
          .orElse(now);
    }
  }
}
