package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The asks of one service that wait for a slot, and how fast such asks come and go.
 *
 * <p>Asks lie under the only upstream that can serve them, so that what happens at one upstream
 * concerns no others.
 */
final class ServiceQueue {
  /** Run time that is assumed before any request was served, in milliseconds. */
  private static final double INITIAL_RUN_MILLIS = 150;

  /** Weight of the newest run time in the mean of the service. */
  private static final double RUN_WEIGHT = 0.05;

  private final Map<SlotRequestId, SlotRequest> waiting = new LinkedHashMap<>();
  private final Map<SlotRequestId, Optional<UpstreamId>> keyOwners = new HashMap<>();
  private final Map<Optional<UpstreamId>, Map<SlotRequestId, SlotRequest>> byKeyOwner =
      new HashMap<>();
  private final ArrivalRate totalArrivalRate = new ArrivalRate();
  private double meanRunMillis = INITIAL_RUN_MILLIS;
  private final Map<Optional<UpstreamId>, ArrivalRate> arrivalRates = new HashMap<>();
  private final Map<Optional<UpstreamId>, Long> lastRetryMillis = new HashMap<>();

  /** Adds an ask; {@code server} is the only upstream that can serve it, or empty. */
  void add(SlotRequest ask, Optional<UpstreamId> server) {
    waiting.put(ask.id(), ask);
    file(ask, server);
  }

  int size() {
    return waiting.size();
  }

  boolean waits(SlotRequest ask) {
    return waiting.containsKey(ask.id());
  }

  /** Returns whether any ask waits for an upstream; empty stands for those without a key. */
  boolean waits(Optional<UpstreamId> server) {
    return byKeyOwner.containsKey(server);
  }

  /** Puts each ask under the upstream that alone can serve it now. */
  void file(Function<SlotRequest, Optional<UpstreamId>> server) {
    keyOwners.clear();
    byKeyOwner.clear();
    waiting.values().forEach(ask -> file(ask, server.apply(ask)));
  }

  private void file(SlotRequest ask, Optional<UpstreamId> server) {
    keyOwners.put(ask.id(), server);
    byKeyOwner.computeIfAbsent(server, id -> new LinkedHashMap<>()).put(ask.id(), ask);
  }

  double meanRunMillis() {
    return meanRunMillis;
  }

  void recordRunMillis(long ranMillis) {
    meanRunMillis += RUN_WEIGHT * (ranMillis - meanRunMillis);
  }

  /** Counts an ask; {@code server} is the only upstream that can serve it, or empty. */
  void recordArrival(long nowMillis, Optional<UpstreamId> server) {
    arrivalRates.computeIfAbsent(server, id -> new ArrivalRate()).recordArrival(nowMillis);
    totalArrivalRate.recordArrival(nowMillis);
  }

  /** Returns the asks a second of late. */
  double arrivalsPerSecond(long nowMillis) {
    return totalArrivalRate.perSecond(nowMillis);
  }

  /** Returns the asks a second of late that only {@code server} can serve. */
  double arrivalsPerSecond(long nowMillis, Optional<UpstreamId> server) {
    return Optional.ofNullable(arrivalRates.get(server))
        .map(counted -> counted.perSecond(nowMillis))
        .orElse(0.0);
  }

  /** Forgets upstreams that are gone. */
  void removeUpstreams(Predicate<UpstreamId> gone) {
    arrivalRates.keySet().removeIf(server -> server.filter(gone).isPresent());
    lastRetryMillis.keySet().removeIf(server -> server.filter(gone).isPresent());
  }

  /** Returns whether an ask can still be answered within its latency target. */
  boolean canMeetTarget(SlotRequest ask, long nowMillis) {
    return nowMillis + meanRunMillis * 0.8 <= ask.targetMillis();
  }

  /** Returns the waiting asks in the order in which they are to be served. */
  List<SlotRequest> inServiceOrder(long nowMillis) {
    return inServiceOrder(nowMillis, waiting.values());
  }

  /** Returns the asks that wait for one upstream, in the order in which they are to be served. */
  List<SlotRequest> inServiceOrder(long nowMillis, Optional<UpstreamId> server) {
    return inServiceOrder(nowMillis, byKeyOwner.getOrDefault(server, Map.of()).values());
  }

  private List<SlotRequest> inServiceOrder(long nowMillis, Collection<SlotRequest> asks) {
    return asks.size() < 2 ? List.copyOf(asks) : asks.stream().sorted(order(nowMillis)).toList();
  }

  /** Returns how many asks that wait for the same upstream go before the one that came last. */
  int countAhead(long nowMillis, SlotRequest last) {
    Comparator<SlotRequest> order = order(nowMillis);
    return (int)
        byKeyOwner.getOrDefault(keyOwners.get(last.id()), Map.of()).values().stream()
            .filter(other -> !other.id().equals(last.id()) && order.compare(other, last) <= 0)
            .count();
  }

  private Comparator<SlotRequest> order(long nowMillis) {
    return Comparator.comparing((SlotRequest ask) -> !canMeetTarget(ask, nowMillis))
        .thenComparingInt(SlotRequest::priority)
        .thenComparingLong(SlotRequest::arrivedMillis);
  }

  void remove(SlotRequestId ticket) {
    waiting.remove(ticket);
    Optional<UpstreamId> server = keyOwners.remove(ticket);
    if (server != null) {
      byKeyOwner.computeIfPresent(
          server,
          (id, asks) -> {
            asks.remove(ticket);
            return asks.isEmpty() ? null : asks;
          });
    }
  }

  /** Forgets all asks of a host. */
  void removeAll(LinkId link) {
    waiting.keySet().stream()
        .filter(ticket -> ticket.link().equals(link))
        .toList()
        .forEach(this::remove);
  }

  /**
   * Returns the time at which a refused caller finds room, apart from the other refused ones.
   *
   * @param server the only upstream that can serve it, or empty
   * @param roomMillis when there is room at the earliest
   * @param gapMillis time in which one request is served
   */
  long reserveRetryMillis(
      long nowMillis, Optional<UpstreamId> server, long roomMillis, double gapMillis) {
    long last = lastRetryMillis.getOrDefault(server, nowMillis);
    long next = Math.max(nowMillis, Math.max(roomMillis, last + Math.round(gapMillis)));
    lastRetryMillis.put(server, next);
    return next;
  }
}
