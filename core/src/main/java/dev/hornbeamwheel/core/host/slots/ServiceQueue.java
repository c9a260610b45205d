package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.capacity.WorkModel;
import dev.hornbeamwheel.core.host.fairness.RunSpread;
import dev.hornbeamwheel.core.host.fairness.ShareGroup;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The slot requests of one service that wait, with their arrival rates.
 *
 * <p>Requests are indexed by the owner of their key, the only upstream that can serve them, so that
 * an event at one upstream does not touch the requests that wait for others. Requests without a key
 * are indexed under an empty owner.
 */
final class ServiceQueue {
  private final Map<SlotRequestId, SlotRequest> waiting = new LinkedHashMap<>();
  private final Map<SlotRequestId, Optional<UpstreamId>> keyOwners = new HashMap<>();
  private final Map<Optional<UpstreamId>, Map<SlotRequestId, SlotRequest>> byKeyOwner =
      new HashMap<>();
  private final ArrivalRate totalArrivalRate = new ArrivalRate();
  private final Map<Optional<UpstreamId>, ArrivalRate> arrivalRates = new HashMap<>();
  private final Map<Optional<UpstreamId>, Long> lastRetryMillis = new HashMap<>();
  private final WorkModel work;
  private final ServiceOrder targetOrder = new TargetOrder(this);
  private final Map<Optional<UpstreamId>, ContendedQueue> contended = new HashMap<>();
  private final Map<SlotRequestId, Charge> charges = new HashMap<>();
  private final Set<SlotRequestId> returned = new HashSet<>();
  private final RunSpread runSpread = new RunSpread();
  private final BooleanSupplier fairShares;

  /** The expected work that the start of a request was charged with, in milliseconds. */
  private record Charge(ContendedQueue queue, ShareGroup group, double workMillis) {}

  /**
   * Creates an empty queue.
   *
   * @param fairShares whether the service has fair shares while it is overloaded
   */
  ServiceQueue(WorkModel work, BooleanSupplier fairShares) {
    this.work = work;
    this.fairShares = fairShares;
  }

  /** Returns whether the service has fair shares while it is overloaded. */
  boolean hasFairShares() {
    return fairShares.getAsBoolean();
  }

  /** Returns the requests that compete for the same upstreams. */
  ContendedQueue contended(Optional<UpstreamId> keyOwner) {
    return contended.computeIfAbsent(keyOwner, id -> new ContendedQueue(this));
  }

  /** Returns whether the requests for a key owner are too many, and get fair shares. */
  boolean sharesOverload(long nowMillis, Optional<UpstreamId> keyOwner) {
    return hasFairShares() && contended(keyOwner).overloaded(nowMillis);
  }

  /** Charges the start of a request to the share that it uses. */
  void recordStart(SlotRequest request, Optional<UpstreamId> keyOwner) {
    if (hasFairShares()) {
      Charge charge =
          new Charge(contended(keyOwner), ContendedQueue.group(request), meanRunMillis(request));
      charge.queue().shares().charge(charge.group(), charge.workMillis());
      charges.put(request.id(), charge);
    }
  }

  /**
   * Corrects what a request was charged with by its actual run time in milliseconds.
   *
   * @param served whether the run time is that of a whole run
   */
  void recordEnd(SlotRequestId requestId, long runMillis, boolean served) {
    Charge charge = charges.remove(requestId);
    if (charge != null) {
      charge.queue().shares().correct(charge.group(), runMillis - charge.workMillis());
      if (served) {
        runSpread.record(runMillis, charge.workMillis());
      }
    }
  }

  /** Records that a request takes the place that a refused caller was promised. */
  void markReturned(SlotRequestId requestId) {
    returned.add(requestId);
  }

  /** Returns whether a request takes the place that a refused caller was promised. */
  boolean hasReturned(SlotRequestId requestId) {
    return returned.contains(requestId);
  }

  /** Forgets what requests were charged with that no longer run. */
  void retainCharges(Set<SlotRequestId> running) {
    charges.keySet().retainAll(running);
  }

  /** Adds a request; {@code keyOwner} is the only upstream that can serve it, or empty. */
  void add(SlotRequest request, Optional<UpstreamId> keyOwner) {
    waiting.put(request.id(), request);
    index(request, keyOwner);
  }

  int size() {
    return waiting.size();
  }

  /** Returns all waiting requests in the order of their arrival. */
  Stream<SlotRequest> waiting() {
    return waiting.values().stream();
  }

  boolean contains(SlotRequest request) {
    return waiting.containsKey(request.id());
  }

  /** Returns whether any request waits for a key owner, or without a key if it is empty. */
  boolean hasWaiting(Optional<UpstreamId> keyOwner) {
    return byKeyOwner.containsKey(keyOwner);
  }

  /** Indexes all requests again, by the current owners of their keys. */
  void reindex(Function<SlotRequest, Optional<UpstreamId>> keyOwner) {
    keyOwners.clear();
    byKeyOwner.clear();
    waiting.values().forEach(request -> index(request, keyOwner.apply(request)));
  }

  private void index(SlotRequest request, Optional<UpstreamId> keyOwner) {
    keyOwners.put(request.id(), keyOwner);
    byKeyOwner.computeIfAbsent(keyOwner, id -> new LinkedHashMap<>()).put(request.id(), request);
  }

  /** Returns the mean run time of the requests of the service, in milliseconds. */
  double meanRunMillis() {
    return work.meanRunMillis();
  }

  /** Returns the mean run time of requests of the same kind, in milliseconds. */
  double meanRunMillis(SlotRequest request) {
    return work.meanRunMillis(request.trafficClass().route());
  }

  /** Returns the time before its latency target at which a request should start at the latest. */
  double runMarginMillis(SlotRequest request) {
    long targetMillis = request.targetMillis() - request.arrivedMillis();
    return runSpread.marginMillis(meanRunMillis(request), targetMillis);
  }

  /** Records an arrival; {@code keyOwner} is the only upstream that can serve it, or empty. */
  void recordArrival(long nowMillis, SlotRequest request, Optional<UpstreamId> keyOwner) {
    if (hasFairShares()) {
      contended(keyOwner).recordArrival(nowMillis, request);
    }
    arrivalRates.computeIfAbsent(keyOwner, id -> new ArrivalRate()).recordArrival(nowMillis);
    totalArrivalRate.recordArrival(nowMillis);
  }

  /** Returns the recent arrival rate of the service, in requests per second. */
  double arrivalsPerSecond(long nowMillis) {
    return totalArrivalRate.perSecond(nowMillis);
  }

  /** Returns the recent arrival rate for a key owner, in requests per second. */
  double arrivalsPerSecond(long nowMillis, Optional<UpstreamId> keyOwner) {
    return Optional.ofNullable(arrivalRates.get(keyOwner))
        .map(rate -> rate.perSecond(nowMillis))
        .orElse(0.0);
  }

  /** Removes the statistics of upstreams that no longer exist, and of shares not used any more. */
  void removeUnused(long nowMillis, Predicate<UpstreamId> gone) {
    arrivalRates.keySet().removeIf(keyOwner -> keyOwner.filter(gone).isPresent());
    lastRetryMillis.keySet().removeIf(keyOwner -> keyOwner.filter(gone).isPresent());
    contended.keySet().removeIf(keyOwner -> keyOwner.filter(gone).isPresent());
    contended.values().forEach(queue -> queue.removeUnused(nowMillis));
  }

  /** Returns whether a request that starts at a time can still meet its latency target. */
  boolean canMeetTarget(SlotRequest request, long nowMillis) {
    return nowMillis + meanRunMillis(request) * 0.8 <= request.targetMillis();
  }

  /** Returns all waiting requests; for each key owner, the next one to serve first. */
  List<SlotRequest> inServiceOrder(long nowMillis) {
    return hasFairShares()
        ? byKeyOwner.keySet().stream()
            .flatMap(keyOwner -> inServiceOrder(nowMillis, keyOwner).stream())
            .toList()
        : targetOrder.sort(nowMillis, waiting.values());
  }

  /** Returns the requests that wait for a key owner, the next one to serve first. */
  List<SlotRequest> inServiceOrder(long nowMillis, Optional<UpstreamId> keyOwner) {
    return order(nowMillis, keyOwner).sort(nowMillis, waitingFor(keyOwner));
  }

  /** Adds the requests for the same key owner that precede the latest request to a backlog. */
  void addAhead(long nowMillis, Backlog backlog, SlotRequest last) {
    Optional<UpstreamId> keyOwner = keyOwners.get(last.id());
    Collection<SlotRequest> requests = waitingFor(keyOwner);
    backlog.add(keyOwner, order(nowMillis, keyOwner).countAhead(nowMillis, requests, last));
    if (hasFairShares()) {
      int aheadInShare = contended(keyOwner).countAheadInShare(nowMillis, requests, last);
      backlog.addToShare(keyOwner, ContendedQueue.group(last), aheadInShare);
    }
  }

  /** Adds a request that is served before others to a backlog. */
  void addTo(Backlog backlog, SlotRequest request, Optional<UpstreamId> keyOwner) {
    backlog.add(keyOwner, 1);
    if (hasFairShares()) {
      backlog.addToShare(keyOwner, ContendedQueue.group(request), 1);
    }
  }

  /** Returns the number of requests that wait for a key owner. */
  int waitingCount(Optional<UpstreamId> keyOwner) {
    return waitingFor(keyOwner).size();
  }

  private Collection<SlotRequest> waitingFor(Optional<UpstreamId> keyOwner) {
    return byKeyOwner.getOrDefault(keyOwner, Map.of()).values();
  }

  private ServiceOrder order(long nowMillis, Optional<UpstreamId> keyOwner) {
    return sharesOverload(nowMillis, keyOwner) ? contended(keyOwner) : targetOrder;
  }

  void remove(SlotRequestId requestId) {
    waiting.remove(requestId);
    returned.remove(requestId);
    Optional<UpstreamId> keyOwner = keyOwners.remove(requestId);
    if (keyOwner != null) {
      byKeyOwner.computeIfPresent(
          keyOwner,
          (id, requests) -> {
            requests.remove(requestId);
            return requests.isEmpty() ? null : requests;
          });
    }
  }

  /** Removes all requests of a host. */
  void removeAll(LinkId link) {
    waiting.keySet().stream()
        .filter(requestId -> requestId.link().equals(link))
        .toList()
        .forEach(this::remove);
  }

  /**
   * Reserves a retry time for a refused request, spaced apart from those of other refused requests.
   *
   * @param keyOwner the only upstream that can serve the request, or empty
   * @param earliestMillis earliest time at which a slot is expected to be free
   * @param intervalMillis time between the retries of two refused requests, in milliseconds
   */
  long reserveRetryMillis(
      long nowMillis, Optional<UpstreamId> keyOwner, long earliestMillis, double intervalMillis) {
    long last = lastRetryMillis.getOrDefault(keyOwner, nowMillis);
    long retryMillis =
        Math.max(nowMillis, Math.max(earliestMillis, last + Math.round(intervalMillis)));
    lastRetryMillis.put(keyOwner, retryMillis);
    return retryMillis;
  }
}
