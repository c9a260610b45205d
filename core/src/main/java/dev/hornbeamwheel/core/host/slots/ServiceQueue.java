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
  private static final double FIRST_RUN_MILLIS = 150;

  /** Weight of the newest run time in the mean of the service. */
  private static final double RUN_WEIGHT = 0.05;

  private final Map<Ticket, Ask> waiting = new LinkedHashMap<>();
  private final Map<Ticket, Optional<UpstreamId>> servers = new HashMap<>();
  private final Map<Optional<UpstreamId>, Map<Ticket, Ask>> byServer = new HashMap<>();
  private final Arrivals allArrivals = new Arrivals();
  private double runMillis = FIRST_RUN_MILLIS;
  private final Map<Optional<UpstreamId>, Arrivals> arrivals = new HashMap<>();
  private final Map<Optional<UpstreamId>, Long> lastReturnMillis = new HashMap<>();

  /** Adds an ask; {@code server} is the only upstream that can serve it, or empty. */
  void add(Ask ask, Optional<UpstreamId> server) {
    waiting.put(ask.ticket(), ask);
    file(ask, server);
  }

  int size() {
    return waiting.size();
  }

  boolean waits(Ask ask) {
    return waiting.containsKey(ask.ticket());
  }

  /** Returns whether any ask waits for an upstream; empty stands for those without a key. */
  boolean waits(Optional<UpstreamId> server) {
    return byServer.containsKey(server);
  }

  /** Puts each ask under the upstream that alone can serve it now. */
  void file(Function<Ask, Optional<UpstreamId>> server) {
    servers.clear();
    byServer.clear();
    waiting.values().forEach(ask -> file(ask, server.apply(ask)));
  }

  private void file(Ask ask, Optional<UpstreamId> server) {
    servers.put(ask.ticket(), server);
    byServer.computeIfAbsent(server, id -> new LinkedHashMap<>()).put(ask.ticket(), ask);
  }

  double runMillis() {
    return runMillis;
  }

  void served(long ranMillis) {
    runMillis += RUN_WEIGHT * (ranMillis - runMillis);
  }

  /** Counts an ask; {@code server} is the only upstream that can serve it, or empty. */
  void arrived(long nowMillis, Optional<UpstreamId> server) {
    arrivals.computeIfAbsent(server, id -> new Arrivals()).add(nowMillis);
    allArrivals.add(nowMillis);
  }

  /** Returns the asks a second of late. */
  double arrivalsPerSecond(long nowMillis) {
    return allArrivals.perSecond(nowMillis);
  }

  /** Returns the asks a second of late that only {@code server} can serve. */
  double arrivalsPerSecond(long nowMillis, Optional<UpstreamId> server) {
    return Optional.ofNullable(arrivals.get(server))
        .map(counted -> counted.perSecond(nowMillis))
        .orElse(0.0);
  }

  /** Forgets upstreams that are gone. */
  void forget(Predicate<UpstreamId> gone) {
    arrivals.keySet().removeIf(server -> server.filter(gone).isPresent());
    lastReturnMillis.keySet().removeIf(server -> server.filter(gone).isPresent());
  }

  /** Returns whether an ask can still be answered within its latency target. */
  boolean onTime(Ask ask, long nowMillis) {
    return nowMillis + runMillis * 0.8 <= ask.targetMillis();
  }

  /** Returns the waiting asks in the order in which they are to be served. */
  List<Ask> inOrder(long nowMillis) {
    return inOrder(nowMillis, waiting.values());
  }

  /** Returns the asks that wait for one upstream, in the order in which they are to be served. */
  List<Ask> inOrder(long nowMillis, Optional<UpstreamId> server) {
    return inOrder(nowMillis, byServer.getOrDefault(server, Map.of()).values());
  }

  private List<Ask> inOrder(long nowMillis, Collection<Ask> asks) {
    return asks.size() < 2 ? List.copyOf(asks) : asks.stream().sorted(order(nowMillis)).toList();
  }

  /** Returns how many asks that wait for the same upstream go before the one that came last. */
  int ahead(long nowMillis, Ask last) {
    Comparator<Ask> order = order(nowMillis);
    return (int)
        byServer.getOrDefault(servers.get(last.ticket()), Map.of()).values().stream()
            .filter(
                other -> !other.ticket().equals(last.ticket()) && order.compare(other, last) <= 0)
            .count();
  }

  private Comparator<Ask> order(long nowMillis) {
    return Comparator.comparing((Ask ask) -> !onTime(ask, nowMillis))
        .thenComparingInt(Ask::priority)
        .thenComparingLong(Ask::arrivedMillis);
  }

  void remove(Ticket ticket) {
    waiting.remove(ticket);
    Optional<UpstreamId> server = servers.remove(ticket);
    if (server != null) {
      byServer.computeIfPresent(
          server,
          (id, asks) -> {
            asks.remove(ticket);
            return asks.isEmpty() ? null : asks;
          });
    }
  }

  /** Forgets all asks of a host. */
  void dropLink(LinkId link) {
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
  long nextReturn(long nowMillis, Optional<UpstreamId> server, long roomMillis, double gapMillis) {
    long last = lastReturnMillis.getOrDefault(server, nowMillis);
    long next = Math.max(nowMillis, Math.max(roomMillis, last + Math.round(gapMillis)));
    lastReturnMillis.put(server, next);
    return next;
  }
}
