package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
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
  private static final double FAR_PENALTY_MILLIS = 8;

  /** The same for large answers. */
  private static final double FAR_LARGE_PENALTY_MILLIS = 120;

  /** Shortest time to wait that a refused caller is told, in milliseconds. */
  private static final long LEAST_RETRY_MILLIS = 40;

  /** Part of its remaining time that a refused caller waits at most. */
  private static final int RETRY_PART = 3;

  /** Part of the mean run time that must be left before the deadline. */
  private static final double LEAST_RUN_PART = 0.7;

  /** Part of the asks that come later and go before one that cannot be on time any more. */
  private static final double LATER_PART = 0.8;

  /** Part of what all upstreams can serve above which busy keys cannot be relieved. */
  private static final double CROWDED_PART = 0.7;

  /** Rate below which nothing is expected to be served, in requests a second. */
  private static final double LEAST_PER_SECOND = 0.1;

  /** The end of a pause. */
  private record Resumption(long atMillis, UpstreamId upstream) {}

  private final Catalog catalog;
  private final KeyLookup keys;
  private final Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();
  private final Map<Ticket, UpstreamId> running = new HashMap<>();
  private final Map<ServiceId, ServiceQueue> queues = new HashMap<>();
  private final Map<ServiceId, ServiceRate> rates = new HashMap<>();
  private final PriorityQueue<Resumption> resumptions =
      new PriorityQueue<>(Comparator.comparingLong(Resumption::atMillis));
  private final List<SlotEffect> out = new ArrayList<>();

  private SlotBroker(Catalog catalog, KeyLookup keys) {
    this.catalog = catalog;
    this.keys = keys;
  }

  /** Returns a broker without any asks. */
  public static SlotBroker create(Catalog catalog, KeyLookup keys) {
    return new SlotBroker(catalog, keys);
  }

  /** Takes an ask; it is answered now or later. */
  public List<SlotEffect> ask(long nowMillis, Ask ask) {
    ServiceQueue queue = queue(ask.service());
    Optional<UpstreamId> server = keyOwner(ask);
    queue.arrived(nowMillis, server);
    queue.add(ask, server);
    resume(nowMillis);
    if (ask.key().isEmpty() || server.isPresent()) {
      serve(nowMillis, ask.service(), server);
    }
    if (queue.waits(ask)) {
      Backlog backlog = backlog(nowMillis, ask.service());
      backlog.add(server, queue.ahead(nowMillis, ask));
      refuseIfHopeless(nowMillis, queue, ask, server, backlog);
    }
    return drain();
  }

  /** Forgets an ask, and frees the slot that it may have got. */
  public List<SlotEffect> cancel(long nowMillis, Ticket ticket) {
    queues.values().forEach(queue -> queue.remove(ticket));
    UpstreamId upstream = running.get(ticket);
    return upstream == null
        ? drain()
        : done(nowMillis, ticket, upstream, Completion.CANCELLED, 0, 0);
  }

  /**
   * Notes that a request on a slot has ended.
   *
   * @param ranMillis how long it took, in milliseconds
   * @param workPercent how long work takes at the upstream, in percent of the usual; zero if
   *     unknown
   */
  public List<SlotEffect> done(
      long nowMillis,
      Ticket ticket,
      UpstreamId upstream,
      Completion completion,
      long ranMillis,
      int workPercent) {
    Optional<UpstreamRegistration> entry = catalog.upstream(upstream);
    UpstreamLoad load = loads.get(upstream);
    if (load == null) {
      return drain();
    }
    load.end(nowMillis, ticket, completion, ranMillis, workPercent);
    running.remove(ticket, upstream);
    entry.ifPresent(known -> noteRate(nowMillis, known));
    if (load.pausedUntil() > nowMillis) {
      resumptions.add(new Resumption(load.pausedUntil(), upstream));
    }
    resume(nowMillis);
    entry.ifPresent(
        known -> {
          if (completion == Completion.SERVED) {
            queue(known.service()).served(ranMillis);
          }
          serve(nowMillis, known);
        });
    return drain();
  }

  /** Notes that keys of a service have other owners, or that an owner holds its keys now. */
  public List<SlotEffect> ownersChanged(long nowMillis, ServiceId service) {
    queue(service).file(this::keyOwner);
    serve(nowMillis, service);
    return drain();
  }

  /** Notes a request that runs on a slot which an earlier coordinator handed out. */
  public void hold(long nowMillis, Ticket ticket, UpstreamId upstream) {
    catalog.upstream(upstream).ifPresent(entry -> begin(nowMillis, ticket, entry));
  }

  private void begin(long nowMillis, Ticket ticket, UpstreamRegistration entry) {
    load(entry).begin(nowMillis, ticket, entry.cold(nowMillis));
    running.put(ticket, entry.id());
  }

  /** Forgets all asks of a host whose connection ended. */
  public List<SlotEffect> dropLink(long nowMillis, LinkId link) {
    loads.values().forEach(load -> load.dropLink(link));
    running.keySet().removeIf(ticket -> ticket.link().equals(link));
    queues.values().forEach(queue -> queue.dropLink(link));
    return serveAll(nowMillis);
  }

  /** Hands out slots that became free by time, and refuses what can no longer be served. */
  public List<SlotEffect> tick(long nowMillis) {
    if (loads.keySet().removeIf(id -> catalog.upstream(id).isEmpty())) {
      running.values().removeIf(id -> !loads.containsKey(id));
    }
    // Upstreams become warm, and sums of rates gather rounding errors.
    rates.clear();
    queues.values().forEach(queue -> queue.forget(id -> catalog.upstream(id).isEmpty()));
    List.copyOf(queues.keySet())
        .forEach(
            service -> {
              queue(service).file(this::keyOwner);
              serve(nowMillis, service);
              refuseHopeless(nowMillis, service);
            });
    return drain();
  }

  /** Returns the requests a second that an upstream can serve. */
  public double requestsPerSecond(long nowMillis, UpstreamRegistration entry) {
    UpstreamLoad load = load(entry);
    double sound = Math.max(0.1, 1 - load.failureRate());
    double full = entry.slots() * 1_000 / Math.max(1, load.runMillis()) * sound;
    double cold = entry.cold(nowMillis) ? coldPerSecond(entry.service()) : 0;
    return cold > 0 ? Math.min(full, cold) : full;
  }

  /** Returns how many asks of a service wait. */
  public int waiting(ServiceId service) {
    return queue(service).size();
  }

  private List<SlotEffect> serveAll(long nowMillis) {
    List.copyOf(queues.keySet()).forEach(service -> serve(nowMillis, service));
    return drain();
  }

  /** Hands out slots of all upstreams of a service. */
  private void serve(long nowMillis, ServiceId service) {
    serve(nowMillis, queue(service).inOrder(nowMillis));
  }

  /** Hands out a slot that became free at an upstream. */
  private void serve(long nowMillis, UpstreamRegistration freed) {
    serve(nowMillis, freed.service(), Optional.of(freed.id()));
    serve(nowMillis, freed.service(), Optional.empty());
  }

  /** Serves the asks that wait for one upstream, or those without a key. */
  private void serve(long nowMillis, ServiceId service, Optional<UpstreamId> server) {
    ServiceQueue queue = queue(service);
    if (!queue.waits(server) || server.filter(id -> !free(nowMillis, id)).isPresent()) {
      return;
    }
    serve(nowMillis, queue.inOrder(nowMillis, server));
  }

  private void serve(long nowMillis, List<Ask> inOrder) {
    boolean full = false;
    for (Ask ask : inOrder) {
      if (ask.key().isPresent()) {
        owner(nowMillis, ask).ifPresent(entry -> give(nowMillis, ask, entry));
      } else if (!full) {
        Optional<UpstreamRegistration> chosen = cheapest(nowMillis, ask);
        chosen.ifPresent(entry -> give(nowMillis, ask, entry));
        full = chosen.isEmpty() && ask.avoid().isEmpty();
      }
    }
  }

  /** Hands out the slots of upstreams whose pause has ended. */
  private void resume(long nowMillis) {
    while (!resumptions.isEmpty() && resumptions.peek().atMillis() <= nowMillis) {
      catalog.upstream(resumptions.poll().upstream()).ifPresent(entry -> resume(nowMillis, entry));
    }
  }

  private void resume(long nowMillis, UpstreamRegistration entry) {
    noteRate(nowMillis, entry);
    serve(nowMillis, entry);
  }

  private Optional<UpstreamRegistration> cheapest(long nowMillis, Ask ask) {
    UpstreamRegistration cheapest = null;
    double least = Double.POSITIVE_INFINITY;
    for (UpstreamRegistration entry : catalog.usable(ask.service())) {
      if (!ask.avoid().contains(entry.id()) && free(nowMillis, entry)) {
        double cost = cost(nowMillis, ask, entry);
        if (cost < least) {
          cheapest = entry;
          least = cost;
        }
      }
    }
    return Optional.ofNullable(cheapest);
  }

  private Optional<UpstreamRegistration> owner(long nowMillis, Ask ask) {
    return keys.holder(nowMillis, ask.service(), ask.key().orElseThrow())
        .filter(holder -> !ask.avoid().contains(holder))
        .flatMap(catalog::upstream)
        .filter(entry -> catalog.usable(entry) && free(nowMillis, entry));
  }

  private boolean free(long nowMillis, UpstreamId upstream) {
    return catalog.upstream(upstream).filter(entry -> free(nowMillis, entry)).isPresent();
  }

  private boolean free(long nowMillis, UpstreamRegistration entry) {
    boolean cold = entry.cold(nowMillis);
    double coldPerSecond = cold ? coldPerSecond(entry.service()) : 0;
    return load(entry).free(nowMillis, entry.slots(), cold, coldPerSecond);
  }

  private double cost(long nowMillis, Ask ask, UpstreamRegistration entry) {
    double far = ask.large() ? FAR_LARGE_PENALTY_MILLIS : FAR_PENALTY_MILLIS;
    double distance = entry.dataCentre().equals(ask.from()) ? 0 : far;
    UpstreamLoad load = load(entry);
    return load.expectedMillis(nowMillis) * (1 + 4 * load.failureRate()) + distance;
  }

  private void give(long nowMillis, Ask ask, UpstreamRegistration entry) {
    queue(ask.service()).remove(ask.ticket());
    begin(nowMillis, ask.ticket(), entry);
    long fence = ask.key().isPresent() ? keys.fence(ask.service(), ask.key().getAsInt()) : 0;
    out.add(new SlotEffect.Give(ask.ticket(), entry.id(), fence));
  }

  /** Refuses the asks that will probably get no slot in time. */
  private void refuseHopeless(long nowMillis, ServiceId service) {
    ServiceQueue queue = queue(service);
    Backlog backlog = backlog(nowMillis, service);
    for (Ask ask : queue.inOrder(nowMillis)) {
      Optional<UpstreamId> server = keyOwner(ask);
      if (!refuseIfHopeless(nowMillis, queue, ask, server, backlog)) {
        backlog.add(server, 1);
      }
    }
  }

  private Backlog backlog(long nowMillis, ServiceId service) {
    return new Backlog(crowded(nowMillis, service));
  }

  private boolean refuseIfHopeless(
      long nowMillis, ServiceQueue queue, Ask ask, Optional<UpstreamId> server, Backlog backlog) {
    long start = expectedStart(nowMillis, queue, ask, server, backlog);
    boolean hopeless = start + queue.runMillis() * LEAST_RUN_PART > ask.deadlineMillis();
    if (hopeless) {
      refuse(nowMillis, queue, ask, start);
    }
    return hopeless;
  }

  private void refuse(long nowMillis, ServiceQueue queue, Ask ask, long startMillis) {
    queue.remove(ask.ticket());
    double gap = 1_000 / Math.max(0.5, throughput(nowMillis, ask));
    long most = Math.max(0, ask.deadlineMillis() - nowMillis) / RETRY_PART;
    long ready = ask.key().isEmpty() ? nowMillis : ownerReady(nowMillis, ask);
    long half = nowMillis + Math.min(startMillis - nowMillis, most) / 2;
    long room = Math.max(half, Math.min(ready, nowMillis + most));
    long back = queue.nextReturn(nowMillis, keyOwner(ask), room, gap) - nowMillis;
    long retryAfter = Math.max(LEAST_RETRY_MILLIS, Math.min(back, most));
    String reason = ask.key().isPresent() ? "the key's owner has no room" : "no room in time";
    out.add(new SlotEffect.Refuse(ask.ticket(), retryAfter, reason));
  }

  /** Returns when an ask that waits behind a backlog will probably get a slot. */
  private long expectedStart(
      long nowMillis, ServiceQueue queue, Ask ask, Optional<UpstreamId> server, Backlog backlog) {
    double throughput = throughput(nowMillis, ask);
    long start = startBehind(nowMillis, backlog.ahead(server), throughput);
    boolean relieved = ask.key().isPresent() && !backlog.serviceCrowded();
    if (!queue.onTime(ask, start) && !relieved) {
      // Requests that come later and can be on time go first.
      double later = LATER_PART * queue.arrivalsPerSecond(nowMillis, server);
      start = startBehind(nowMillis, backlog.ahead(server), throughput - later);
    }
    return ask.key().isEmpty() ? start : Math.max(start, ownerReady(nowMillis, ask));
  }

  /** Returns whether more is asked of a service than all its upstreams together can well serve. */
  private boolean crowded(long nowMillis, ServiceId service) {
    return queue(service).arrivalsPerSecond(nowMillis)
        > CROWDED_PART * throughput(nowMillis, service);
  }

  private static long startBehind(long nowMillis, int ahead, double perSecond) {
    return perSecond <= LEAST_PER_SECOND
        ? Long.MAX_VALUE / 4
        : nowMillis + Math.round((ahead + 0.5) * 1_000 / perSecond);
  }

  private long ownerReady(long nowMillis, Ask ask) {
    long held = keys.readyMillis(nowMillis, ask.service(), ask.key().orElseThrow());
    return keyOwner(ask)
        .map(loads::get)
        .map(load -> Math.max(held, load.pausedUntil()))
        .orElse(held);
  }

  /** Returns the upstream that alone can serve an ask, or empty for one without a key. */
  private Optional<UpstreamId> keyOwner(Ask ask) {
    return ask.key().isEmpty() ? Optional.empty() : keys.owner(ask.service(), ask.key().getAsInt());
  }

  /** Returns the requests a second that can be served of those that compete with an ask. */
  private double throughput(long nowMillis, Ask ask) {
    if (ask.key().isPresent()) {
      return keyOwner(ask)
          .flatMap(catalog::upstream)
          .map(entry -> requestsPerSecond(nowMillis, entry))
          .orElseGet(() -> 2_000 / queue(ask.service()).runMillis());
    }
    return throughput(nowMillis, ask.service());
  }

  private double throughput(long nowMillis, ServiceId service) {
    List<UpstreamRegistration> usable = catalog.usable(service);
    ServiceRate rate = rates.get(service);
    if (rate == null || !rate.isOf(usable)) {
      rate = ServiceRate.of(usable, entry -> presentRate(nowMillis, entry));
      rates.put(service, rate);
    }
    return rate.perSecond();
  }

  private void noteRate(long nowMillis, UpstreamRegistration entry) {
    ServiceRate rate = rates.get(entry.service());
    if (rate != null) {
      rate.changed(entry.id(), presentRate(nowMillis, entry));
    }
  }

  private double presentRate(long nowMillis, UpstreamRegistration entry) {
    boolean paused = nowMillis < load(entry).pausedUntil();
    return paused ? 0 : requestsPerSecond(nowMillis, entry);
  }

  private double coldPerSecond(ServiceId service) {
    return catalog
        .configuration()
        .flatMap(configuration -> configuration.service(service))
        .map(ServiceSpec::coldRequestsPerSecond)
        .orElse(0.0);
  }

  private UpstreamLoad load(UpstreamRegistration entry) {
    return loads.computeIfAbsent(
        entry.id(), id -> new UpstreamLoad(queue(entry.service()).runMillis()));
  }

  private ServiceQueue queue(ServiceId service) {
    return queues.computeIfAbsent(service, id -> new ServiceQueue());
  }

  private List<SlotEffect> drain() {
    List<SlotEffect> effects = List.copyOf(out);
    out.clear();
    return effects;
  }
}
