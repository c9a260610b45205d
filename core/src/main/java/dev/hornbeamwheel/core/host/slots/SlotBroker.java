package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Hands out the slots of all upstreams, late and in one place.
 *
 * <p>A request waits here and not at an upstream, so that it goes to whichever upstream becomes
 * free first; a keyed request waits for the owner of its key. Requests that can still be on time go
 * before those that cannot. What cannot be served before its deadline is refused at once, with a
 * time at which there will be room.
 */
public final class SlotBroker {
  /** What a transfer between data centres is worth in waiting, in milliseconds. */
  private static final double REMOTE_PENALTY_MILLIS = 8;

  /** The same for large answers. */
  private static final double REMOTE_LARGE_PENALTY_MILLIS = 120;

  /** Shortest time to wait that a refused caller is told, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 40;

  /** Part of its remaining time that a refused caller waits at most. */
  private static final int RETRY_AFTER_DIVISOR = 3;

  /** Part of the mean run time that must be left before the deadline. */
  private static final double MIN_RUN_FRACTION = 0.7;

  /** Part of the asks that come later and go before one that cannot be on time any more. */
  private static final double OVERTAKING_FRACTION = 0.8;

  /** Part of what all upstreams can serve above which busy keys cannot be relieved. */
  private static final double SATURATION_UTILIZATION = 0.7;

  /** Rate below which nothing is expected to be served, in requests a second. */
  private static final double MIN_THROUGHPUT_PER_SECOND = 0.1;

  /** The end of a pause. */
  private record BackoffEnd(long atMillis, UpstreamId upstream) {}

  private final Catalog catalog;
  private final KeyLookup keyLookup;
  private final Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();
  private final Map<SlotRequestId, UpstreamId> upstreamsInUse = new HashMap<>();
  private final Map<ServiceId, ServiceQueue> queues = new HashMap<>();
  private final Map<ServiceId, ServiceRate> rates = new HashMap<>();
  private final PriorityQueue<BackoffEnd> backoffEnds =
      new PriorityQueue<>(Comparator.comparingLong(BackoffEnd::atMillis));
  private final List<SlotEffect> pendingEffects = new ArrayList<>();

  private SlotBroker(Catalog catalog, KeyLookup keys) {
    this.catalog = catalog;
    this.keyLookup = keys;
  }

  /** Returns a broker without any asks. */
  public static SlotBroker create(Catalog catalog, KeyLookup keys) {
    return new SlotBroker(catalog, keys);
  }

  /** Takes an ask; it is answered now or later. */
  public List<SlotEffect> requestSlot(long nowMillis, SlotRequest ask) {
    ServiceQueue queue = queue(ask.service());
    Optional<UpstreamId> server = keyOwner(ask);
    queue.recordArrival(nowMillis, server);
    queue.add(ask, server);
    grantAfterBackoff(nowMillis);
    if (ask.key().isEmpty() || server.isPresent()) {
      grantSlots(nowMillis, ask.service(), server);
    }
    if (queue.waits(ask)) {
      Backlog backlog = backlog(nowMillis, ask.service());
      backlog.add(server, queue.countAhead(nowMillis, ask));
      refuseIfDeadlineMissed(nowMillis, queue, ask, server, backlog);
    }
    return drainEffects();
  }

  /** Forgets an ask, and frees the slot that it may have got. */
  public List<SlotEffect> cancel(long nowMillis, SlotRequestId ticket) {
    queues.values().forEach(queue -> queue.remove(ticket));
    UpstreamId upstream = upstreamsInUse.get(ticket);
    return upstream == null
        ? drainEffects()
        : release(nowMillis, ticket, upstream, Completion.CANCELLED, 0, 0);
  }

  /**
   * Notes that a request on a slot has ended.
   *
   * @param ranMillis how long it took, in milliseconds
   * @param workPercent how long work takes at the upstream, in percent of the usual; zero if
   *     unknown
   */
  public List<SlotEffect> release(
      long nowMillis,
      SlotRequestId ticket,
      UpstreamId upstream,
      Completion completion,
      long ranMillis,
      int workPercent) {
    Optional<UpstreamEntry> entry = catalog.upstream(upstream);
    UpstreamLoad load = loads.get(upstream);
    if (load == null) {
      return drainEffects();
    }
    load.end(nowMillis, ticket, completion, ranMillis, workPercent);
    upstreamsInUse.remove(ticket, upstream);
    entry.ifPresent(known -> updateRate(nowMillis, known));
    if (load.backoffUntilMillis() > nowMillis) {
      backoffEnds.add(new BackoffEnd(load.backoffUntilMillis(), upstream));
    }
    grantAfterBackoff(nowMillis);
    entry.ifPresent(
        known -> {
          if (completion == Completion.SERVED) {
            queue(known.service()).recordRunMillis(ranMillis);
          }
          grantSlots(nowMillis, known);
        });
    return drainEffects();
  }

  /** Notes that keys of a service have other owners, or that an owner holds its keys now. */
  public List<SlotEffect> ownersChanged(long nowMillis, ServiceId service) {
    queue(service).file(this::keyOwner);
    grantSlots(nowMillis, service);
    return drainEffects();
  }

  /** Notes a request that runs on a slot which an earlier coordinator handed out. */
  public void recordHeldSlot(long nowMillis, SlotRequestId ticket, UpstreamId upstream) {
    catalog.upstream(upstream).ifPresent(entry -> occupySlot(nowMillis, ticket, entry));
  }

  private void occupySlot(long nowMillis, SlotRequestId ticket, UpstreamEntry entry) {
    load(entry).begin(nowMillis, ticket, entry.cold(nowMillis));
    upstreamsInUse.put(ticket, entry.id());
  }

  /** Forgets all asks of a host whose connection ended. */
  public List<SlotEffect> hostDisconnected(long nowMillis, LinkId link) {
    loads.values().forEach(load -> load.removeAll(link));
    upstreamsInUse.keySet().removeIf(ticket -> ticket.link().equals(link));
    queues.values().forEach(queue -> queue.removeAll(link));
    return grantAllSlots(nowMillis);
  }

  /** Hands out slots that became free by time, and refuses what can no longer be served. */
  public List<SlotEffect> tick(long nowMillis) {
    if (loads.keySet().removeIf(id -> catalog.upstream(id).isEmpty())) {
      upstreamsInUse.values().removeIf(id -> !loads.containsKey(id));
    }
    // Upstreams become warm, and sums of rates gather rounding errors.
    rates.clear();
    queues.values().forEach(queue -> queue.removeUpstreams(id -> catalog.upstream(id).isEmpty()));
    List.copyOf(queues.keySet())
        .forEach(
            service -> {
              queue(service).file(this::keyOwner);
              grantSlots(nowMillis, service);
              refuseDeadlineMisses(nowMillis, service);
            });
    return drainEffects();
  }

  /** Returns the requests a second that an upstream can serve. */
  public double requestsPerSecond(long nowMillis, UpstreamEntry entry) {
    UpstreamLoad load = load(entry);
    double sound = Math.max(0.1, 1 - load.failureRate());
    double full = entry.slots() * 1_000 / Math.max(1, load.meanRunMillis()) * sound;
    double cold = entry.cold(nowMillis) ? coldPerSecond(entry.service()) : 0;
    return cold > 0 ? Math.min(full, cold) : full;
  }

  /** Returns how many asks of a service wait. */
  public int waitingCount(ServiceId service) {
    return queue(service).size();
  }

  private List<SlotEffect> grantAllSlots(long nowMillis) {
    List.copyOf(queues.keySet()).forEach(service -> grantSlots(nowMillis, service));
    return drainEffects();
  }

  /** Hands out slots of all upstreams of a service. */
  private void grantSlots(long nowMillis, ServiceId service) {
    grantSlots(nowMillis, queue(service).inServiceOrder(nowMillis));
  }

  /** Hands out a slot that became free at an upstream. */
  private void grantSlots(long nowMillis, UpstreamEntry freed) {
    grantSlots(nowMillis, freed.service(), Optional.of(freed.id()));
    grantSlots(nowMillis, freed.service(), Optional.empty());
  }

  /** Serves the asks that wait for one upstream, or those without a key. */
  private void grantSlots(long nowMillis, ServiceId service, Optional<UpstreamId> server) {
    ServiceQueue queue = queue(service);
    if (!queue.waits(server) || server.filter(id -> !canStart(nowMillis, id)).isPresent()) {
      return;
    }
    grantSlots(nowMillis, queue.inServiceOrder(nowMillis, server));
  }

  private void grantSlots(long nowMillis, List<SlotRequest> inOrder) {
    boolean full = false;
    for (SlotRequest ask : inOrder) {
      if (ask.key().isPresent()) {
        availableHolder(nowMillis, ask).ifPresent(entry -> grant(nowMillis, ask, entry));
      } else if (!full) {
        Optional<UpstreamEntry> chosen = cheapestUpstream(nowMillis, ask);
        chosen.ifPresent(entry -> grant(nowMillis, ask, entry));
        full = chosen.isEmpty() && ask.excludedUpstreams().isEmpty();
      }
    }
  }

  /** Hands out the slots of upstreams whose pause has ended. */
  private void grantAfterBackoff(long nowMillis) {
    while (!backoffEnds.isEmpty() && backoffEnds.peek().atMillis() <= nowMillis) {
      catalog
          .upstream(backoffEnds.poll().upstream())
          .ifPresent(entry -> grantAfterBackoff(nowMillis, entry));
    }
  }

  private void grantAfterBackoff(long nowMillis, UpstreamEntry entry) {
    updateRate(nowMillis, entry);
    grantSlots(nowMillis, entry);
  }

  private Optional<UpstreamEntry> cheapestUpstream(long nowMillis, SlotRequest ask) {
    UpstreamEntry cheapest = null;
    double least = Double.POSITIVE_INFINITY;
    for (UpstreamEntry entry : catalog.usable(ask.service())) {
      if (!ask.excludedUpstreams().contains(entry.id()) && canStart(nowMillis, entry)) {
        double cost = cost(nowMillis, ask, entry);
        if (cost < least) {
          cheapest = entry;
          least = cost;
        }
      }
    }
    return Optional.ofNullable(cheapest);
  }

  private Optional<UpstreamEntry> availableHolder(long nowMillis, SlotRequest ask) {
    return keyLookup
        .holder(nowMillis, ask.service(), ask.key().orElseThrow())
        .filter(holder -> !ask.excludedUpstreams().contains(holder))
        .flatMap(catalog::upstream)
        .filter(entry -> catalog.usable(entry) && canStart(nowMillis, entry));
  }

  private boolean canStart(long nowMillis, UpstreamId upstream) {
    return catalog.upstream(upstream).filter(entry -> canStart(nowMillis, entry)).isPresent();
  }

  private boolean canStart(long nowMillis, UpstreamEntry entry) {
    boolean cold = entry.cold(nowMillis);
    double coldPerSecond = cold ? coldPerSecond(entry.service()) : 0;
    return load(entry).canStart(nowMillis, entry.slots(), cold, coldPerSecond);
  }

  private double cost(long nowMillis, SlotRequest ask, UpstreamEntry entry) {
    double far = ask.largeResponse() ? REMOTE_LARGE_PENALTY_MILLIS : REMOTE_PENALTY_MILLIS;
    double distance = entry.dataCentre().equals(ask.dataCentre()) ? 0 : far;
    UpstreamLoad load = load(entry);
    return load.expectedRunMillis(nowMillis) * (1 + 4 * load.failureRate()) + distance;
  }

  private void grant(long nowMillis, SlotRequest ask, UpstreamEntry entry) {
    queue(ask.service()).remove(ask.id());
    occupySlot(nowMillis, ask.id(), entry);
    long fence =
        ask.key().isPresent() ? keyLookup.fencingToken(ask.service(), ask.key().getAsInt()) : 0;
    pendingEffects.add(new SlotEffect.Grant(ask.id(), entry.id(), fence));
  }

  /** Refuses the asks that will probably get no slot in time. */
  private void refuseDeadlineMisses(long nowMillis, ServiceId service) {
    ServiceQueue queue = queue(service);
    Backlog backlog = backlog(nowMillis, service);
    for (SlotRequest ask : queue.inServiceOrder(nowMillis)) {
      Optional<UpstreamId> server = keyOwner(ask);
      if (!refuseIfDeadlineMissed(nowMillis, queue, ask, server, backlog)) {
        backlog.add(server, 1);
      }
    }
  }

  private Backlog backlog(long nowMillis, ServiceId service) {
    return new Backlog(isSaturated(nowMillis, service));
  }

  private boolean refuseIfDeadlineMissed(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest ask,
      Optional<UpstreamId> server,
      Backlog backlog) {
    long start = expectedStartMillis(nowMillis, queue, ask, server, backlog);
    boolean hopeless = start + queue.meanRunMillis() * MIN_RUN_FRACTION > ask.deadlineMillis();
    if (hopeless) {
      refuse(nowMillis, queue, ask, start);
    }
    return hopeless;
  }

  private void refuse(long nowMillis, ServiceQueue queue, SlotRequest ask, long startMillis) {
    queue.remove(ask.id());
    double gap = 1_000 / Math.max(0.5, throughput(nowMillis, ask));
    long most = Math.max(0, ask.deadlineMillis() - nowMillis) / RETRY_AFTER_DIVISOR;
    long ready = ask.key().isEmpty() ? nowMillis : ownerReadyMillis(nowMillis, ask);
    long half = nowMillis + Math.min(startMillis - nowMillis, most) / 2;
    long room = Math.max(half, Math.min(ready, nowMillis + most));
    long back = queue.reserveRetryMillis(nowMillis, keyOwner(ask), room, gap) - nowMillis;
    long retryAfter = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(back, most));
    String reason = ask.key().isPresent() ? "the key's owner has no room" : "no room in time";
    pendingEffects.add(new SlotEffect.Refuse(ask.id(), retryAfter, reason));
  }

  /** Returns when an ask that waits behind a backlog will probably get a slot. */
  private long expectedStartMillis(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest ask,
      Optional<UpstreamId> server,
      Backlog backlog) {
    double throughput = throughput(nowMillis, ask);
    long start = startAfterMillis(nowMillis, backlog.ahead(server), throughput);
    boolean relieved = ask.key().isPresent() && !backlog.serviceSaturated();
    if (!queue.canMeetTarget(ask, start) && !relieved) {
      // Requests that come later and can be on time go first.
      double later = OVERTAKING_FRACTION * queue.arrivalsPerSecond(nowMillis, server);
      start = startAfterMillis(nowMillis, backlog.ahead(server), throughput - later);
    }
    return ask.key().isEmpty() ? start : Math.max(start, ownerReadyMillis(nowMillis, ask));
  }

  /** Returns whether more is asked of a service than all its upstreams together can well serve. */
  private boolean isSaturated(long nowMillis, ServiceId service) {
    return queue(service).arrivalsPerSecond(nowMillis)
        > SATURATION_UTILIZATION * throughput(nowMillis, service);
  }

  private static long startAfterMillis(long nowMillis, int ahead, double perSecond) {
    return perSecond <= MIN_THROUGHPUT_PER_SECOND
        ? Long.MAX_VALUE / 4
        : nowMillis + Math.round((ahead + 0.5) * 1_000 / perSecond);
  }

  private long ownerReadyMillis(long nowMillis, SlotRequest ask) {
    long held = keyLookup.readyMillis(nowMillis, ask.service(), ask.key().orElseThrow());
    return keyOwner(ask)
        .map(loads::get)
        .map(load -> Math.max(held, load.backoffUntilMillis()))
        .orElse(held);
  }

  /** Returns the upstream that alone can serve an ask, or empty for one without a key. */
  private Optional<UpstreamId> keyOwner(SlotRequest ask) {
    return ask.key().isEmpty()
        ? Optional.empty()
        : keyLookup.owner(ask.service(), ask.key().getAsInt());
  }

  /** Returns the requests a second that can be served of those that compete with an ask. */
  private double throughput(long nowMillis, SlotRequest ask) {
    if (ask.key().isPresent()) {
      return keyOwner(ask)
          .flatMap(catalog::upstream)
          .map(entry -> requestsPerSecond(nowMillis, entry))
          .orElseGet(() -> 2_000 / queue(ask.service()).meanRunMillis());
    }
    return throughput(nowMillis, ask.service());
  }

  private double throughput(long nowMillis, ServiceId service) {
    List<UpstreamEntry> usable = catalog.usable(service);
    ServiceRate rate = rates.get(service);
    if (rate == null || !rate.covers(usable)) {
      rate = ServiceRate.of(usable, entry -> currentRate(nowMillis, entry));
      rates.put(service, rate);
    }
    return rate.perSecond();
  }

  private void updateRate(long nowMillis, UpstreamEntry entry) {
    ServiceRate rate = rates.get(entry.service());
    if (rate != null) {
      rate.update(entry.id(), currentRate(nowMillis, entry));
    }
  }

  private double currentRate(long nowMillis, UpstreamEntry entry) {
    boolean paused = nowMillis < load(entry).backoffUntilMillis();
    return paused ? 0 : requestsPerSecond(nowMillis, entry);
  }

  private double coldPerSecond(ServiceId service) {
    return catalog
        .configuration()
        .flatMap(configuration -> configuration.service(service))
        .map(ServiceSpec::coldPerSecond)
        .orElse(0.0);
  }

  private UpstreamLoad load(UpstreamEntry entry) {
    return loads.computeIfAbsent(
        entry.id(), id -> new UpstreamLoad(queue(entry.service()).meanRunMillis()));
  }

  private ServiceQueue queue(ServiceId service) {
    return queues.computeIfAbsent(service, id -> new ServiceQueue());
  }

  private List<SlotEffect> drainEffects() {
    List<SlotEffect> effects = List.copyOf(pendingEffects);
    pendingEffects.clear();
    return effects;
  }
}
