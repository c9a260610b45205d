package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.capacity.LimitChange;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.fairness.FairnessScope;
import dev.hornbeamwheel.core.model.RouteId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Grants the slots of all upstreams to the requests of all hosts.
 *
 * <p>Requests wait in this central queue and not at an upstream, and are assigned only when a slot
 * is free. A request without a key therefore goes to whichever upstream becomes free first; a keyed
 * request waits for the owner of its key. Requests that can still meet their latency target take
 * precedence over those that cannot. A request that cannot be served before its deadline is refused
 * immediately, with a retry delay after which a slot is expected to be free.
 */
public final class SlotBroker {
  /** The time at which the backoff of an upstream ends. */
  private record BackoffEnd(long atMillis, UpstreamId upstream) {}

  /** Least number of slots of an upstream that can have a limit below its slots. */
  private static final int MIN_LEARNED_SLOTS = 3;

  private final Catalog catalog;
  private final KeyLookup keyLookup;
  private final UpstreamLoads loads;
  private final FairnessScope fairnessScope;
  private final StartEstimator estimator;
  private final HotKeyQueues hotKeys;
  private final Map<SlotRequestId, UpstreamId> upstreamsInUse = new HashMap<>();
  private final Map<ServiceId, ServiceQueue> queues = new HashMap<>();
  private final PriorityQueue<BackoffEnd> backoffEnds =
      new PriorityQueue<>(Comparator.comparingLong(BackoffEnd::atMillis));
  private final List<SlotEffect> effects = new ArrayList<>();
  private final Map<RefusalCause, Long> refusals = new EnumMap<>(RefusalCause.class);

  private SlotBroker(
      Catalog catalog, KeyLookup keyLookup, LongPredicate coldAllowed, int minLearnedSlots) {
    this.catalog = catalog;
    this.keyLookup = keyLookup;
    this.fairnessScope = FairnessScope.of(catalog);
    this.loads = new UpstreamLoads(catalog, fairnessScope, coldAllowed, minLearnedSlots);
    this.estimator = new StartEstimator(catalog, keyLookup, loads);
    this.hotKeys = new HotKeyQueues(catalog, keyLookup, loads, new HotKeyDecisions());
  }

  /**
   * Returns a broker without slot requests, which learns the limits of upstreams with three slots
   * or more.
   *
   * @param coldAllowed whether slots of cold upstreams may be granted at a time, in milliseconds;
   *     only one broker of the fleet may be allowed to at a time
   */
  public static SlotBroker create(Catalog catalog, KeyLookup keyLookup, LongPredicate coldAllowed) {
    return create(catalog, keyLookup, coldAllowed, MIN_LEARNED_SLOTS);
  }

  /**
   * Returns a broker without slot requests.
   *
   * @param coldAllowed as above
   * @param minLearnedSlots least number of slots of an upstream whose limit is learned; zero if
   *     none is
   */
  public static SlotBroker create(
      Catalog catalog, KeyLookup keyLookup, LongPredicate coldAllowed, int minLearnedSlots) {
    return new SlotBroker(catalog, keyLookup, coldAllowed, minLearnedSlots);
  }

  /**
   * Adds a slot request. It is granted or refused by the returned effects or by those of a later
   * call.
   */
  public List<SlotEffect> requestSlot(long nowMillis, SlotRequest request) {
    if (request.trafficClass().organisation().isPresent()) {
      fairnessScope.recordOrganisation(request.service());
    }
    if (hotKeys.takes(request)) {
      grantAfterBackoff(nowMillis);
      hotKeys.request(nowMillis, request);
      return drainEffects();
    }
    ServiceQueue queue = queue(request.service());
    Optional<UpstreamId> keyOwner = keyOwner(request);
    queue.recordArrival(nowMillis, request, keyOwner);
    queue.add(request, keyOwner);
    grantAfterBackoff(nowMillis);
    if (request.key().isEmpty() || keyOwner.isPresent()) {
      grantSlots(nowMillis, request.service(), keyOwner);
    }
    if (queue.contains(request)) {
      Backlog backlog = backlog(nowMillis, request.service());
      queue.addAhead(nowMillis, backlog, request);
      refuseIfMissesDeadline(nowMillis, queue, request, keyOwner, backlog);
    }
    return drainEffects();
  }

  /** Removes a slot request, and releases its slot if it was granted. */
  public List<SlotEffect> cancel(long nowMillis, SlotRequestId requestId) {
    queues.values().forEach(queue -> queue.remove(requestId));
    hotKeys.remove(requestId);
    UpstreamId upstream = upstreamsInUse.get(requestId);
    return upstream == null
        ? drainEffects()
        : release(nowMillis, requestId, upstream, Completion.CANCELLED, 0, 0);
  }

  /**
   * Releases the slot of a request that has ended, and records its result.
   *
   * @param runMillis time between the start and the end of the request, in milliseconds
   * @param relativeWorkPercent current run time at the upstream, in percent of its usual run time;
   *     zero if unknown
   */
  public List<SlotEffect> release(
      long nowMillis,
      SlotRequestId requestId,
      UpstreamId upstream,
      Completion completion,
      long runMillis,
      int relativeWorkPercent) {
    Optional<UpstreamRegistration> entry = catalog.upstream(upstream);
    Optional<UpstreamLoad> known = loads.find(upstream);
    if (known.isEmpty()) {
      return drainEffects();
    }
    UpstreamLoad load = known.get();
    boolean warm = entry.filter(present -> !present.cold(nowMillis)).isPresent();
    load.recordEnd(nowMillis, requestId, completion, runMillis, relativeWorkPercent, warm);
    upstreamsInUse.remove(requestId, upstream);
    hotKeys.remove(requestId);
    if (completion != Completion.CANCELLED) {
      boolean served = completion == Completion.SERVED;
      entry.ifPresent(present -> queue(present.service()).recordEnd(requestId, runMillis, served));
    }
    entry.ifPresent(present -> loads.updateRate(nowMillis, present));
    if (load.backoffUntilMillis() > nowMillis) {
      backoffEnds.add(new BackoffEnd(load.backoffUntilMillis(), upstream));
    }
    grantAfterBackoff(nowMillis);
    entry.ifPresent(present -> grantSlots(nowMillis, present));
    return drainEffects();
  }

  /**
   * Handles a change of the key owners of a service: keys have other owners, or an owner now holds
   * its keys.
   */
  public List<SlotEffect> ownersChanged(long nowMillis, ServiceId service) {
    queue(service).reindex(this::keyOwner);
    grantSlots(nowMillis, service);
    hotKeys.startAll(nowMillis);
    return drainEffects();
  }

  /** Records a running request whose slot was granted by an earlier coordinator. */
  public void recordHeldSlot(long nowMillis, SlotRequestId requestId, UpstreamId upstream) {
    catalog
        .upstream(upstream)
        .ifPresent(entry -> occupySlot(nowMillis, requestId, Optional.empty(), entry, false));
  }

  private void occupySlot(
      long nowMillis,
      SlotRequestId requestId,
      Optional<RouteId> route,
      UpstreamRegistration entry,
      boolean suspect) {
    loads.recordStart(nowMillis, requestId, route, entry, suspect);
    upstreamsInUse.put(requestId, entry.id());
  }

  /** Removes all slot requests of a host whose connection ended, and releases their slots. */
  public List<SlotEffect> hostDisconnected(long nowMillis, LinkId link) {
    loads.removeAll(link);
    upstreamsInUse.keySet().removeIf(requestId -> requestId.link().equals(link));
    queues.values().forEach(queue -> queue.removeAll(link));
    hotKeys.removeAll(link);
    return grantAllSlots(nowMillis);
  }

  /**
   * Grants the slots that became free with time, and refuses the requests that can no longer be
   * served before their deadline.
   */
  public List<SlotEffect> tick(long nowMillis) {
    if (loads.removeUnregistered()) {
      upstreamsInUse.values().removeIf(id -> loads.find(id).isEmpty());
    }
    loads.tick(nowMillis);
    loads.resetRates();
    hotKeys
        .tick(nowMillis)
        .forEach(cooled -> queue(cooled.service()).add(cooled, keyOwner(cooled)));
    queues
        .values()
        .forEach(queue -> queue.removeUnused(nowMillis, id -> catalog.upstream(id).isEmpty()));
    List.copyOf(queues.keySet())
        .forEach(
            service -> {
              queue(service).retainCharges(upstreamsInUse.keySet());
              separateHotKeys(nowMillis, queue(service));
              queue(service).reindex(this::keyOwner);
              grantSlots(nowMillis, service);
              refuseDeadlineMisses(nowMillis, service);
            });
    return drainEffects();
  }

  /** Returns the throughput of an upstream, in requests per second. */
  public double requestsPerSecond(long nowMillis, UpstreamRegistration entry) {
    return loads.requestsPerSecond(nowMillis, entry);
  }

  /** Returns the throughput of the usable upstreams of a service, in requests per second. */
  public double requestsPerSecond(long nowMillis, ServiceId service) {
    return loads.requestsPerSecond(nowMillis, service);
  }

  /** Returns the learned limits that are lower than the slots of their upstreams. */
  public Map<UpstreamId, Integer> loweredLimits() {
    return loads.loweredLimits();
  }

  /** Returns and forgets the changes of learned limits since the last call. */
  public List<LimitChange> drainLimitChanges() {
    return loads.drainLimitChanges();
  }

  /** Returns an explainer of the decisions of this broker, which changes no state. */
  public SlotExplainer explainer() {
    return new SlotExplainer(catalog, keyLookup, loads, queues, hotKeys);
  }

  /** Returns the number of slot requests of a service that wait. */
  public int waitingCount(ServiceId service) {
    long hot = hotKeys.waiting().filter(request -> request.service().equals(service)).count();
    return queue(service).size() + (int) hot;
  }

  /** Returns the waiting requests by data centre, and the refusals so far by cause. */
  public QueueStatistics statistics() {
    return new QueueStatistics(
        Stream.concat(queues.values().stream().flatMap(ServiceQueue::waiting), hotKeys.waiting())
            .collect(Collectors.groupingBy(SlotRequest::dataCentre, Collectors.counting())),
        refusals);
  }

  private List<SlotEffect> grantAllSlots(long nowMillis) {
    List.copyOf(queues.keySet()).forEach(service -> grantSlots(nowMillis, service));
    hotKeys.startAll(nowMillis);
    return drainEffects();
  }

  /** Grants free slots of all upstreams of a service. */
  private void grantSlots(long nowMillis, ServiceId service) {
    grantSlots(nowMillis, queue(service).inServiceOrder(nowMillis));
  }

  /** Grants a slot that became free at an upstream. */
  private void grantSlots(long nowMillis, UpstreamRegistration freed) {
    grantSlots(nowMillis, freed.service(), Optional.of(freed.id()));
    hotKeys.slotFreed(nowMillis, freed.id());
    grantSlots(nowMillis, freed.service(), Optional.empty());
  }

  /** Grants free slots to the requests that wait for one key owner, or to those without a key. */
  private void grantSlots(long nowMillis, ServiceId service, Optional<UpstreamId> keyOwner) {
    ServiceQueue queue = queue(service);
    if (!queue.hasWaiting(keyOwner)
        || keyOwner.filter(id -> !loads.canStart(nowMillis, id)).isPresent()
        || (keyOwner.isEmpty() && queue.hasFairShares() && !anyFreeSlot(nowMillis, service))) {
      return;
    }
    grantSlots(nowMillis, queue.inServiceOrder(nowMillis, keyOwner));
  }

  private void grantSlots(long nowMillis, List<SlotRequest> ordered) {
    boolean full = false;
    for (SlotRequest request : ordered) {
      if (request.key().isPresent()) {
        availableHolder(nowMillis, request).ifPresent(entry -> grant(nowMillis, request, entry));
      } else if (!full) {
        Optional<UpstreamRegistration> selected = loads.cheapest(nowMillis, request);
        selected.ifPresent(entry -> grant(nowMillis, request, entry));
        boolean anyUpstream = request.excludedUpstreams().isEmpty() && !request.suspect();
        full = selected.isEmpty() && anyUpstream;
      }
    }
  }

  /** Returns whether an upstream can start a request; if none can, no order is computed. */
  private boolean anyFreeSlot(long nowMillis, ServiceId service) {
    for (UpstreamRegistration entry : catalog.usable(service)) {
      if (loads.canStart(nowMillis, entry)) {
        return true;
      }
    }
    return false;
  }

  /** Grants the slots of upstreams whose backoff has ended. */
  private void grantAfterBackoff(long nowMillis) {
    while (!backoffEnds.isEmpty() && backoffEnds.peek().atMillis() <= nowMillis) {
      catalog
          .upstream(backoffEnds.poll().upstream())
          .ifPresent(entry -> grantAfterBackoff(nowMillis, entry));
    }
  }

  private void grantAfterBackoff(long nowMillis, UpstreamRegistration entry) {
    loads.updateRate(nowMillis, entry);
    grantSlots(nowMillis, entry);
  }

  private Optional<UpstreamRegistration> availableHolder(long nowMillis, SlotRequest request) {
    return keyLookup
        .holder(nowMillis, request.service(), request.key().orElseThrow())
        .filter(holder -> !request.excludedUpstreams().contains(holder))
        .flatMap(catalog::upstream)
        .filter(entry -> catalog.usable(entry) && loads.canStart(nowMillis, entry, request));
  }

  private void grant(long nowMillis, SlotRequest request, UpstreamRegistration entry) {
    ServiceQueue queue = queue(request.service());
    queue.recordStart(request, keyOwner(request));
    queue.remove(request.id());
    start(nowMillis, request, entry);
  }

  private void start(long nowMillis, SlotRequest request, UpstreamRegistration entry) {
    RouteId route = request.trafficClass().route();
    occupySlot(nowMillis, request.id(), Optional.of(route), entry, request.suspect());
    long fencingToken =
        request.key().isPresent()
            ? keyLookup.fencingToken(request.service(), request.key().getAsInt())
            : 0;
    effects.add(new SlotEffect.Grant(request.id(), entry.id(), fencingToken));
  }

  /** Refuses the waiting requests of a service that are expected to miss their deadline. */
  private void refuseDeadlineMisses(long nowMillis, ServiceId service) {
    ServiceQueue queue = queue(service);
    Backlog backlog = backlog(nowMillis, service);
    for (SlotRequest request : queue.inServiceOrder(nowMillis)) {
      Optional<UpstreamId> keyOwner = keyOwner(request);
      if (!refuseIfMissesDeadline(nowMillis, queue, request, keyOwner, backlog)) {
        queue.addTo(backlog, request, keyOwner);
      }
    }
  }

  private Backlog backlog(long nowMillis, ServiceId service) {
    return new Backlog(estimator.isSaturated(nowMillis, service, queue(service)));
  }

  private boolean refuseIfMissesDeadline(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest request,
      Optional<UpstreamId> keyOwner,
      Backlog backlog) {
    long startMillis = estimator.startMillis(nowMillis, queue, request, keyOwner, backlog);
    boolean missesDeadline = StartEstimator.missesDeadline(queue, request, startMillis);
    if (!missesDeadline
        && !StartEstimator.yields(nowMillis, queue, request, keyOwner, startMillis)) {
      return false;
    }
    RefusalCause deadlineCause =
        request.key().isPresent() ? RefusalCause.OWNER_FULL : RefusalCause.NO_SLOT;
    RefusalCause cause = missesDeadline ? deadlineCause : RefusalCause.LATE;
    refuse(nowMillis, queue, request, keyOwner, startMillis, cause);
    return true;
  }

  private void refuse(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest request,
      Optional<UpstreamId> keyOwner,
      long startMillis,
      RefusalCause cause) {
    queue.remove(request.id());
    refusals.merge(cause, 1L, Long::sum);
    long retryAfterMillis =
        estimator.reserveRetryAfterMillis(nowMillis, queue, request, keyOwner, startMillis);
    effects.add(new SlotEffect.Refuse(request.id(), retryAfterMillis, cause.reason()));
  }

  /**
   * Returns the owner of a request's key, which is the only upstream that can serve it; empty for a
   * request without a key and for an unknown owner.
   */
  private Optional<UpstreamId> keyOwner(SlotRequest request) {
    return request.key().isEmpty()
        ? Optional.empty()
        : keyLookup.owner(request.service(), request.key().getAsInt());
  }

  /** Moves the requests for keys that have become hot to the queues of those keys. */
  private void separateHotKeys(long nowMillis, ServiceQueue queue) {
    queue
        .waiting()
        .filter(hotKeys::takes)
        .toList()
        .forEach(
            request -> {
              queue.remove(request.id());
              hotKeys.request(nowMillis, request);
            });
  }

  private ServiceQueue queue(ServiceId service) {
    return queues.computeIfAbsent(service, this::newQueue);
  }

  private ServiceQueue newQueue(ServiceId service) {
    return new ServiceQueue(loads.work(service), () -> fairnessScope.includes(service));
  }

  private List<SlotEffect> drainEffects() {
    List<SlotEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }

  private final class HotKeyDecisions implements HotKeyQueues.Decisions {
    @Override
    public ServiceQueue queue(ServiceId service) {
      return SlotBroker.this.queue(service);
    }

    @Override
    public void start(long nowMillis, SlotRequest request, UpstreamRegistration upstream) {
      SlotBroker.this.start(nowMillis, request, upstream);
    }

    @Override
    public void refuse(SlotRequest request, long retryAfterMillis) {
      refusals.merge(RefusalCause.HOT_KEY, 1L, Long::sum);
      effects.add(
          new SlotEffect.Refuse(request.id(), retryAfterMillis, RefusalCause.HOT_KEY.reason()));
    }
  }
}
