package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The asks of one service that wait for a slot, and how fast such asks come and go. */
final class ServiceQueue {
  /** Run time that is assumed before any request was served, in milliseconds. */
  private static final double FIRST_RUN_MILLIS = 150;

  /** Weight of the newest run time in the mean of the service. */
  private static final double RUN_WEIGHT = 0.05;

  private final List<Ask> waiting = new ArrayList<>();
  private final Arrivals allArrivals = new Arrivals();
  private double runMillis = FIRST_RUN_MILLIS;
  private final Map<Optional<UpstreamId>, Arrivals> arrivals = new HashMap<>();
  private final Map<Optional<UpstreamId>, Long> lastReturnMillis = new HashMap<>();

  List<Ask> waiting() {
    return waiting;
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
    if (waiting.size() < 2) {
      return List.copyOf(waiting);
    }
    return waiting.stream()
        .sorted(
            Comparator.comparing((Ask ask) -> !onTime(ask, nowMillis))
                .thenComparingInt(Ask::priority)
                .thenComparingLong(Ask::arrivedMillis))
        .toList();
  }

  Optional<Ask> remove(Ticket ticket) {
    Optional<Ask> found = waiting.stream().filter(ask -> ask.ticket().equals(ticket)).findFirst();
    found.ifPresent(waiting::remove);
    return found;
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
