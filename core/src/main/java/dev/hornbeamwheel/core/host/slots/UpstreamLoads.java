package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.capacity.LimitChange;
import dev.hornbeamwheel.core.host.capacity.LoweredLimits;
import dev.hornbeamwheel.core.host.capacity.ServiceCapacity;
import dev.hornbeamwheel.core.host.capacity.UpstreamCapacity;
import dev.hornbeamwheel.core.host.capacity.WorkModel;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.cold.Pacer;
import dev.hornbeamwheel.core.host.fairness.FairnessScope;
import dev.hornbeamwheel.core.host.fairness.LocalPreference;
import dev.hornbeamwheel.core.model.RouteId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * The loads of all upstreams: which of them can start a request, which is the best for it, and how
 * many requests they serve per second.
 */
final class UpstreamLoads {
  /** Cost of serving a request from another data centre, in milliseconds of run time. */
  private static final double REMOTE_PENALTY_MILLIS = 8;

  /** Cost of serving a large response from another data centre, in milliseconds of run time. */
  private static final double REMOTE_LARGE_PENALTY_MILLIS = 120;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Catalog catalog;
  private final FairnessScope fairnessScope;
  private final LongPredicate coldAllowed;
  private final int minLearnedSlots;
  private final Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();
  private final Map<ServiceId, ServiceRate> rates = new HashMap<>();
  private final Map<ServiceId, ServiceCapacity> capacities = new HashMap<>();
  private final LoweredLimits loweredLimits = LoweredLimits.create();

  /**
   * Creates the loads of idle upstreams.
   *
   * @param fairnessScope the services whose requests prefer upstreams that answer in time
   * @param coldAllowed whether requests may start at cold upstreams at a time, in milliseconds
   * @param minLearnedSlots least number of slots of an upstream whose limit is learned; zero if
   *     none is
   */
  UpstreamLoads(
      Catalog catalog,
      FairnessScope fairnessScope,
      LongPredicate coldAllowed,
      int minLearnedSlots) {
    this.minLearnedSlots = minLearnedSlots;
    this.catalog = catalog;
    this.fairnessScope = fairnessScope;
    this.coldAllowed = coldAllowed;
  }

  /** Returns the load of an upstream, or empty if it was never considered for a request. */
  Optional<UpstreamLoad> find(UpstreamId upstream) {
    return Optional.ofNullable(loads.get(upstream));
  }

  private UpstreamLoad load(long nowMillis, UpstreamRegistration entry) {
    return loads.computeIfAbsent(entry.id(), id -> newLoad(nowMillis, entry));
  }

  /**
   * Returns the load of an upstream that is considered for the first time. What others, such as an
   * earlier coordinator, have sent it is not known, so that it is paced as if that was just now.
   */
  private UpstreamLoad newLoad(long nowMillis, UpstreamRegistration entry) {
    double coldPerSecond = catalog.coldRequestsPerSecond(entry.service());
    double intervalMillis = coldPerSecond > 0 ? MILLIS_PER_SECOND / coldPerSecond : 0;
    ServiceCapacity service = capacity(entry.service());
    return new UpstreamLoad(
        UpstreamCapacity.create(entry.id(), entry.slots(), service, loweredLimits),
        Pacer.startingAt(nowMillis + intervalMillis));
  }

  private ServiceCapacity capacity(ServiceId service) {
    return capacities.computeIfAbsent(service, id -> ServiceCapacity.create(minLearnedSlots));
  }

  /** Returns the learned run times of a service. */
  WorkModel work(ServiceId service) {
    return capacity(service).work();
  }

  /** Returns the learned limits that are lower than the slots. */
  Map<UpstreamId, Integer> loweredLimits() {
    return loweredLimits.limits();
  }

  /** Returns and forgets the changes of learned limits since the last call. */
  List<LimitChange> drainLimitChanges() {
    return loweredLimits.drainChanges();
  }

  /** Ends trials of limits that got too few samples. */
  void tick(long nowMillis) {
    loads.values().forEach(load -> load.capacity().tick(nowMillis));
  }

  void recordStart(
      long nowMillis,
      SlotRequestId requestId,
      Optional<RouteId> route,
      UpstreamRegistration entry,
      boolean suspect) {
    double pacedPerSecond =
        entry.cold(nowMillis) ? catalog.coldRequestsPerSecond(entry.service()) : 0;
    load(nowMillis, entry).recordStart(nowMillis, requestId, route, pacedPerSecond, suspect);
  }

  /** Removes the running requests of a host. */
  void removeAll(LinkId link) {
    loads.values().forEach(load -> load.removeAll(link));
  }

  /** Removes the loads of unregistered upstreams; returns whether there were any. */
  boolean removeUnregistered() {
    List<UpstreamId> gone =
        loads.keySet().stream().filter(id -> catalog.upstream(id).isEmpty()).toList();
    gone.forEach(id -> loads.remove(id).capacity().close());
    loweredLimits.removeIf(id -> !loads.containsKey(id));
    return !gone.isEmpty();
  }

  boolean canStart(long nowMillis, UpstreamId upstream) {
    return catalog.upstream(upstream).filter(entry -> canStart(nowMillis, entry)).isPresent();
  }

  boolean canStart(long nowMillis, UpstreamRegistration entry) {
    boolean paced = paced(nowMillis, entry);
    return !(paced && !coldAllowed.test(nowMillis))
        && load(nowMillis, entry).canStart(nowMillis, entry.slots(), paced);
  }

  /**
   * Returns whether an upstream can start a request now. Suspects run apart from each other, so
   * that none of them is taken for the cause when another ends the upstream.
   */
  boolean canStart(long nowMillis, UpstreamRegistration entry, SlotRequest request) {
    return canStart(nowMillis, entry)
        && !(request.suspect() && load(nowMillis, entry).runsSuspect());
  }

  /** Returns whether an upstream is cold, and can serve only a limited rate while it is. */
  private boolean paced(long nowMillis, UpstreamRegistration entry) {
    return entry.cold(nowMillis) && catalog.coldRequestsPerSecond(entry.service()) > 0;
  }

  /** Returns the upstream that can start a request without a key at the lowest cost. */
  Optional<UpstreamRegistration> cheapest(long nowMillis, SlotRequest request) {
    UpstreamRegistration cheapest = null;
    double lowestCost = Double.POSITIVE_INFINITY;
    double workMillis = work(request.service()).meanRunMillis(request.trafficClass().route());
    boolean fairShares = fairnessScope.includes(request.service());
    for (UpstreamRegistration entry : catalog.usable(request.service())) {
      if (!request.excludedUpstreams().contains(entry.id())
          && canStart(nowMillis, entry, request)) {
        double runCost = runCost(nowMillis, load(nowMillis, entry), workMillis);
        double cost = cost(nowMillis, request, entry, runCost, fairShares);
        if (cost < lowestCost) {
          cheapest = entry;
          lowestCost = cost;
        }
      }
    }
    return Optional.ofNullable(cheapest);
  }

  /**
   * Returns the one of some upstreams at which a request would start at the lowest cost. Unlike
   * {@link #cheapest} it creates no load for an upstream that was never considered.
   */
  Optional<UpstreamRegistration> cheapestOf(
      long nowMillis, SlotRequest request, List<UpstreamRegistration> entries) {
    double workMillis = work(request.service()).meanRunMillis(request.trafficClass().route());
    boolean fairShares = fairnessScope.includes(request.service());
    return entries.stream()
        .min(
            Comparator.comparingDouble(
                entry -> {
                  double runCost =
                      find(entry.id())
                          .map(load -> runCost(nowMillis, load, workMillis))
                          .orElse(workMillis);
                  return cost(nowMillis, request, entry, runCost, fairShares);
                }));
  }

  /** Returns why an upstream cannot start a request now, or empty if it can. */
  Optional<String> obstacle(long nowMillis, UpstreamRegistration entry) {
    boolean paced = paced(nowMillis, entry);
    if (paced && !coldAllowed.test(nowMillis)) {
      return Optional.of("cold, and the coordinator may not use cold upstreams now");
    }
    return find(entry.id()).flatMap(load -> load.obstacle(nowMillis, entry.slots(), paced));
  }

  private static double runCost(long nowMillis, UpstreamLoad load, double workMillis) {
    return load.expectedRunMillis(nowMillis, workMillis) * (1 + 4 * load.failureRate());
  }

  private static double cost(
      long nowMillis,
      SlotRequest request,
      UpstreamRegistration entry,
      double runCost,
      boolean fairShares) {
    boolean local = entry.dataCentre().equals(request.dataCentre());
    double remotePenalty =
        request.largeResponse() ? REMOTE_LARGE_PENALTY_MILLIS : REMOTE_PENALTY_MILLIS;
    if (fairShares) {
      long slackMillis = request.targetMillis() - nowMillis;
      return LocalPreference.cost(runCost, local, remotePenalty, slackMillis);
    }
    return runCost + (local ? 0 : remotePenalty);
  }

  /**
   * Returns the rate at which requests may start at an upstream, in requests per second; zero if it
   * is cold and no request may start there.
   */
  double startsPerSecond(long nowMillis, UpstreamRegistration entry) {
    boolean forbidden = paced(nowMillis, entry) && !coldAllowed.test(nowMillis);
    return forbidden ? 0 : requestsPerSecond(nowMillis, entry);
  }

  /** Returns the throughput of an upstream, in requests per second. */
  double requestsPerSecond(long nowMillis, UpstreamRegistration entry) {
    UpstreamLoad load = load(nowMillis, entry);
    double successRate = Math.max(0.1, 1 - load.failureRate());
    double warmPerSecond =
        load.capacity().settledLimit(entry.slots())
            * MILLIS_PER_SECOND
            / Math.max(1, load.capacity().meanRunMillis())
            * successRate;
    return paced(nowMillis, entry)
        ? Math.min(warmPerSecond, catalog.coldRequestsPerSecond(entry.service()))
        : warmPerSecond;
  }

  /** Returns the throughput of the usable upstreams of a service, in requests per second. */
  double requestsPerSecond(long nowMillis, ServiceId service) {
    List<UpstreamRegistration> usable = catalog.usable(service);
    ServiceRate rate = rates.get(service);
    if (rate == null || !rate.covers(usable)) {
      rate = ServiceRate.of(usable, entry -> currentRate(nowMillis, entry));
      rates.put(service, rate);
    }
    return rate.perSecond();
  }

  /** Updates the throughput of a service after a change of the load of one of its upstreams. */
  void updateRate(long nowMillis, UpstreamRegistration entry) {
    ServiceRate rate = rates.get(entry.service());
    if (rate != null) {
      rate.update(entry.id(), currentRate(nowMillis, entry));
    }
  }

  /**
   * Computes all throughputs anew when they are next read, since upstreams warm up and updated sums
   * accumulate rounding errors.
   */
  void resetRates() {
    rates.clear();
  }

  private double currentRate(long nowMillis, UpstreamRegistration entry) {
    boolean inBackoff = nowMillis < load(nowMillis, entry).backoffUntilMillis();
    return inBackoff ? 0 : startsPerSecond(nowMillis, entry);
  }
}
