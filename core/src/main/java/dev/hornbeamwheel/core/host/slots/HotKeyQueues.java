package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.keys.KeyLoad;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The requests for hot keys, which wait apart from all others: they count neither as demand for the
 * service or the owner nor as requests ahead of others, and other keys of the owner come first.
 *
 * <p>While an owner has other keys, the requests for its hot keys leave one of its slots free.
 */
final class HotKeyQueues {
  private final Catalog catalog;
  private final KeyLookup keyLookup;
  private final UpstreamLoads loads;
  private final Decisions decisions;
  private final Map<HotKey, HotKeyQueue> queues = new HashMap<>();
  private final Map<SlotRequestId, UpstreamId> running = new HashMap<>();

  private record HotKey(ServiceId service, int key) {
    static HotKey of(SlotRequest request) {
      return new HotKey(request.service(), request.key().orElseThrow());
    }
  }

  /** Carries out what is decided on requests for hot keys. */
  interface Decisions {
    /** Returns the queue of a service, which knows its run times. */
    ServiceQueue queue(ServiceId service);

    void start(long nowMillis, SlotRequest request, UpstreamRegistration upstream);

    void refuse(SlotRequest request, long retryAfterMillis);
  }

  HotKeyQueues(Catalog catalog, KeyLookup keyLookup, UpstreamLoads loads, Decisions decisions) {
    this.catalog = catalog;
    this.keyLookup = keyLookup;
    this.loads = loads;
    this.decisions = decisions;
  }

  /** Returns whether a request is for a hot key. */
  boolean takes(SlotRequest request) {
    return request.key().isPresent() && load(HotKey.of(request)) != KeyLoad.NORMAL;
  }

  private KeyLoad load(HotKey key) {
    return keyLookup.load(key.service(), key.key());
  }

  /** Adds a request for a hot key; it starts, waits or is refused. */
  void request(long nowMillis, SlotRequest request) {
    HotKey key = HotKey.of(request);
    HotKeyQueue queue = queues.computeIfAbsent(key, id -> new HotKeyQueue());
    queue.add(nowMillis, request);
    startWaiting(nowMillis, key, queue);
    if (queue.contains(request)) {
      double perSecond = perSecond(nowMillis, key);
      long startMillis = startMillis(nowMillis, key, queue, request, perSecond);
      if (!queue.admits(decisions.queue(key.service()), request, startMillis)) {
        refuse(nowMillis, queue, request, startMillis, perSecond);
      }
    }
  }

  /** Starts requests for the hot keys of an upstream that has a free slot. */
  void slotFreed(long nowMillis, UpstreamId upstream) {
    queues.forEach(
        (key, queue) -> {
          if (owner(key).filter(upstream::equals).isPresent()) {
            startWaiting(nowMillis, key, queue);
          }
        });
  }

  /** Starts requests that can start, after a change of owners or running requests. */
  void startAll(long nowMillis) {
    queues.forEach((key, queue) -> startWaiting(nowMillis, key, queue));
  }

  /**
   * Starts and refuses requests that wait, and forgets the keys that have cooled down.
   *
   * @return the requests for keys that are not hot any more
   */
  List<SlotRequest> tick(long nowMillis) {
    running.values().removeIf(upstream -> catalog.upstream(upstream).isEmpty());
    List<SlotRequest> cooled = new ArrayList<>();
    queues
        .entrySet()
        .removeIf(
            entry -> {
              boolean cold = load(entry.getKey()) == KeyLoad.NORMAL;
              if (cold) {
                entry.getValue().waiting().forEach(cooled::add);
              } else {
                startWaiting(nowMillis, entry.getKey(), entry.getValue());
                refuseDeadlineMisses(nowMillis, entry.getKey(), entry.getValue());
              }
              return cold;
            });
    return cooled;
  }

  private void refuseDeadlineMisses(long nowMillis, HotKey key, HotKeyQueue queue) {
    double perSecond = perSecond(nowMillis, key);
    for (SlotRequest request : queue.waiting().toList()) {
      long startMillis = startMillis(nowMillis, key, queue, request, perSecond);
      if (StartEstimator.missesDeadline(decisions.queue(key.service()), request, startMillis)) {
        refuse(nowMillis, queue, request, startMillis, perSecond);
      }
    }
  }

  private void refuse(
      long nowMillis, HotKeyQueue queue, SlotRequest request, long startMillis, double perSecond) {
    queue.remove(request.id());
    decisions.refuse(request, queue.retryAfterMillis(nowMillis, request, startMillis, perSecond));
  }

  /** Removes a request that waits or runs. */
  void remove(SlotRequestId requestId) {
    running.remove(requestId);
    queues.values().forEach(queue -> queue.remove(requestId));
  }

  /** Removes all requests of a host. */
  void removeAll(LinkId link) {
    running.keySet().removeIf(requestId -> requestId.link().equals(link));
    queues.values().forEach(queue -> queue.removeIf(id -> id.link().equals(link)));
  }

  /** Returns the requests that wait. */
  Stream<SlotRequest> waiting() {
    return queues.values().stream().flatMap(HotKeyQueue::waiting);
  }

  /** Returns whether a request that arrives now would start at once. */
  boolean startsNow(long nowMillis, SlotRequest request) {
    return availableHolder(nowMillis, HotKey.of(request), request).isPresent();
  }

  /** Returns the number of requests that wait for the key of a request. */
  int waitingCount(SlotRequest request) {
    HotKeyQueue queue = queues.get(HotKey.of(request));
    return queue == null ? 0 : (int) queue.waiting().count();
  }

  private void startWaiting(long nowMillis, HotKey key, HotKeyQueue queue) {
    queue
        .inServiceOrder()
        .forEach(
            request ->
                availableHolder(nowMillis, key, request)
                    .ifPresent(
                        holder -> {
                          queue.remove(request.id());
                          running.put(request.id(), holder.id());
                          decisions.start(nowMillis, request, holder);
                        }));
  }

  private Optional<UpstreamRegistration> availableHolder(
      long nowMillis, HotKey key, SlotRequest request) {
    return keyLookup
        .holder(nowMillis, key.service(), key.key())
        .filter(id -> !request.excludedUpstreams().contains(id))
        .flatMap(catalog::upstream)
        .filter(catalog::usable)
        .filter(entry -> loads.canStart(nowMillis, entry, request))
        .filter(entry -> running(entry.id()) < maxRunning(key, entry));
  }

  private long running(UpstreamId upstream) {
    return running.values().stream().filter(upstream::equals).count();
  }

  /** Returns how many requests for hot keys may run at an upstream at once. */
  private int maxRunning(HotKey key, UpstreamRegistration entry) {
    int limit = limit(entry);
    return load(key) == KeyLoad.HOT_ALONE ? limit : Math.max(1, limit - 1);
  }

  private int limit(UpstreamRegistration entry) {
    return loads
        .find(entry.id())
        .map(load -> load.capacity().limit(entry.slots()))
        .orElse(entry.slots());
  }

  private long startMillis(
      long nowMillis, HotKey key, HotKeyQueue queue, SlotRequest request, double perSecond) {
    return Math.max(
        queue.startMillis(nowMillis, request, perSecond),
        keyLookup.readyMillis(nowMillis, key.service(), key.key()));
  }

  /** Returns the rate at which requests for a key may start, in requests per second. */
  private double perSecond(long nowMillis, HotKey key) {
    return owner(key)
        .flatMap(catalog::upstream)
        .map(
            entry ->
                loads.startsPerSecond(nowMillis, entry) * maxRunning(key, entry) / limit(entry))
        .orElse(0.0);
  }

  private Optional<UpstreamId> owner(HotKey key) {
    return keyLookup.owner(key.service(), key.key());
  }
}
