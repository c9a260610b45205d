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
  static final long HEARTBEAT_MILLIS = 200;

  /** Time between two rounds that tell hosts which owners changed, in milliseconds. */
  static final long TELL_OWNERS_MILLIS = 200;

  /** A term that is shorter is not ended for a stronger host, in milliseconds. */
  static final long HAND_OVER_AFTER_MILLIS = 5_000;

  private final long term;
  private final HostIdentity self;
  private final Catalog catalog;
  private final SlotBroker broker;
  private final LinkedHosts links = new LinkedHosts();
  private final Map<ServiceId, KeyedService> keyed = new HashMap<>();
  private final Map<ServiceId, KeyDemand> demands = new HashMap<>();
  private final Map<ServiceId, ToldOwners> told = new HashMap<>();
  private final Map<ServiceId, Long> toldRevision = new HashMap<>();
  private final List<HostEffect> out = new ArrayList<>();
  private final long startMillis;
  private boolean handedOver;
  private long heartbeatDue;
  private long tellOwnersDue;
  private long asks;
  private long gives;
  private long refusals;
  private long orders;
  private long nowMillis;

  Coordinator(long nowMillis, long term, HostIdentity self, Catalog catalog) {
    this.term = term;
    this.self = self;
    this.catalog = catalog;
    this.broker = SlotBroker.create(catalog, new Owners());
    this.nowMillis = nowMillis;
    this.startMillis = nowMillis;
  }

  long term() {
    return term;
  }

  /** Returns what was done in this term. */
  CoordinatorWork work() {
    int waiting =
        catalog.configuration().map(FleetConfiguration::services).orElse(Set.of()).stream()
            .mapToInt(broker::waiting)
            .sum();
    return new CoordinatorWork(term, links.size(), asks, gives, refusals, orders, waiting);
  }

  /** Takes a message of a host. */
  List<HostEffect> receive(long now, LinkId link, HostMessage message) {
    nowMillis = now;
    if (message instanceof HostMessage.Hello hello) {
      links.add(now, link, hello);
      told.values().forEach(owners -> owners.join(link));
      tell(link, heartbeat(true));
    } else if (message instanceof HostMessage.SlotRequest ask) {
      asks++;
      answer(broker.ask(now, ask(now, link, ask)));
    } else if (message instanceof HostMessage.Cancel cancel) {
      answer(broker.cancel(now, new Ticket(link, cancel.ask())));
    } else if (message instanceof HostMessage.Done done) {
      Ticket ticket = new Ticket(link, done.ask());
      answer(
          broker.done(
              now,
              ticket,
              done.upstream(),
              done.completion(),
              done.ranMillis(),
              done.workPercent()));
    } else if (message instanceof HostMessage.SlotInUse hold) {
      broker.hold(now, new Ticket(link, hold.ask()), hold.upstream());
    }
    return drain();
  }

  /** Forgets a host whose connection ended. */
  List<HostEffect> hostGone(long now, LinkId link) {
    nowMillis = now;
    links.remove(link);
    told.values().forEach(owners -> owners.leave(link));
    answer(broker.dropLink(now, link));
    return drain();
  }

  /**
   * Returns whether a clearly stronger host should coordinate, and the change would meet no keys
   * that are about to change their owner.
   */
  boolean shouldHandOver(long now) {
    return now - startMillis >= HAND_OVER_AFTER_MILLIS
        && self.capacity().clearlyBelow(links.bestSteady(now))
        && keyed.values().stream().allMatch(KeyedService::settled);
  }

  /** Tells all hosts that the lease was given up for a stronger one; no keys are touched again. */
  List<HostEffect> handedOver() {
    handedOver = true;
    HostMessage heartbeat = heartbeat(false);
    links.links().forEach(link -> tell(link, heartbeat));
    return drain();
  }

  /** Notes that upstreams, evacuations or the configuration changed. */
  void catalogChanged() {
    keyed.values().forEach(KeyedService::upstreamsChanged);
  }

  /**
   * Does what is due.
   *
   * @param leased whether this process surely holds the lease; without it, no keys are touched
   * @param storeDoubtful whether the store may be away
   */
  List<HostEffect> tick(long now, boolean leased, boolean storeDoubtful) {
    nowMillis = now;
    startServices(now);
    if (leased) {
      keyed.forEach((service, owners) -> perform(service, owners.tick(now, storeDoubtful)));
    }
    answer(broker.tick(now));
    if (now >= tellOwnersDue) {
      tellOwnersDue = now + TELL_OWNERS_MILLIS;
      keyed.forEach(this::tellOwners);
    }
    if (now >= heartbeatDue) {
      heartbeatDue = now + HEARTBEAT_MILLIS;
      HostMessage heartbeat = heartbeat(leased);
      links.links().forEach(link -> tell(link, heartbeat));
    }
    return drain();
  }

  List<HostEffect> tableRead(long now, ServiceId service, TableRead result) {
    return keysEvent(now, service, owners -> owners.tableRead(now, result));
  }

  List<HostEffect> tableWritten(long now, ServiceId service, TableWrite result) {
    return keysEvent(now, service, owners -> owners.tableWritten(now, result));
  }

  List<HostEffect> orderEnded(long now, ServiceId service, long order, OrderResult result) {
    return keysEvent(now, service, owners -> owners.orderEnded(now, order, result));
  }

  private List<HostEffect> keysEvent(
      long now, ServiceId service, Function<KeyedService, List<KeyEffect>> event) {
    nowMillis = now;
    KeyedService owners = keyed.get(service);
    if (owners != null) {
      long before = owners.revision();
      perform(service, event.apply(owners));
      if (owners.revision() != before) {
        answer(broker.ownersChanged(now, service));
      }
    }
    return drain();
  }

  private void startServices(long now) {
    catalog.configuration().map(FleetConfiguration::keyedServices).orElse(List.of()).stream()
        .map(ServiceSpec::id)
        .filter(service -> !keyed.containsKey(service))
        .forEach(
            service -> {
              KeyDemand demand = KeyDemand.none();
              demands.put(service, demand);
              ToldOwners owners = new ToldOwners(service);
              links.links().forEach(owners::join);
              told.put(service, owners);
              keyed.put(
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

  private Ask ask(long now, LinkId link, HostMessage.SlotRequest ask) {
    ask.key()
        .ifPresent(
            key ->
                Optional.ofNullable(demands.get(ask.service()))
                    .ifPresent(demand -> demand.add(now, key)));
    return new Ask(
        link,
        ask.ask(),
        links.dataCentre(link).orElse(self.dataCentre()),
        ask.service(),
        ask.key(),
        ask.priority(),
        now,
        now + ask.deadlineMillis(),
        now + ask.targetMillis(),
        ask.large(),
        ask.avoid());
  }

  private void perform(ServiceId service, List<KeyEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof KeyEffect.Note note) {
            out.add(
                new HostEffect.Log(
                    LogEntry.of(note.decision())
                        .with("term", term)
                        .with("service", service.value())
                        .with("subject", note.subject())
                        .with("reason", note.reason())));
          } else {
            boolean order =
                effect instanceof KeyEffect.Grant || effect instanceof KeyEffect.Release;
            orders += order ? 1 : 0;
            out.add(new HostEffect.Keys(term, service, effect));
          }
        });
  }

  private void answer(List<SlotEffect> effects) {
    effects.forEach(
        effect -> {
          LinkId link = effect.ticket().link();
          long ask = effect.ticket().ask();
          if (effect instanceof SlotEffect.Give give) {
            gives++;
            tell(link, new HostMessage.SlotGrant(ask, give.upstream(), give.fence()));
          } else if (effect instanceof SlotEffect.Refuse refuse) {
            refusals++;
            tell(
                link, new HostMessage.SlotRefusal(ask, refuse.retryAfterMillis(), refuse.reason()));
          }
        });
  }

  private void tellOwners(ServiceId service, KeyedService owners) {
    ToldOwners hosts = told.get(service);
    boolean changed = !Long.valueOf(owners.revision()).equals(toldRevision.get(service));
    if (owners.loaded() && (changed || hosts.owesMaps())) {
      toldRevision.put(service, owners.revision());
      hosts.round(owners.owners(), this::tell);
    }
  }

  private HostMessage heartbeat(boolean leased) {
    return new HostMessage.Heartbeat(
        term, leased && !handedOver, links.size(), links.best(), handedOver);
  }

  private void tell(LinkId link, HostMessage message) {
    out.add(new HostEffect.SendToHost(link, message));
  }

  private List<HostEffect> drain() {
    List<HostEffect> effects = List.copyOf(out);
    out.clear();
    return effects;
  }

  private final class Owners implements KeyLookup {
    @Override
    public Optional<UpstreamId> holder(long now, ServiceId service, int key) {
      return Optional.ofNullable(keyed.get(service)).flatMap(owners -> owners.holder(now, key));
    }

    @Override
    public Optional<UpstreamId> owner(ServiceId service, int key) {
      return Optional.ofNullable(keyed.get(service)).flatMap(owners -> owners.owner(key));
    }

    @Override
    public long fence(ServiceId service, int key) {
      return Optional.ofNullable(keyed.get(service)).map(owners -> owners.fence(key)).orElse(0L);
    }

    @Override
    public long readyMillis(long now, ServiceId service, int key) {
      return Optional.ofNullable(keyed.get(service))
          .map(owners -> owners.readyMillis(now, key))
          .orElse(now);
    }
  }
}
