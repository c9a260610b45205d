package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.fairness.MaxMinShare;
import dev.hornbeamwheel.core.host.fairness.ShareGroup;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** The recent arrivals in one queue by priority, data centre and organisation. */
final class Demand {
  /** Rate below which a share is forgotten, in requests per second. */
  private static final double MIN_PER_SECOND = 0.01;

  private final TreeMap<Integer, Rates> byPriority = new TreeMap<>();

  private static final class Rates {
    private final ArrivalRate total = new ArrivalRate();
    private final Map<DataCentreId, ArrivalRate> dataCentres = new HashMap<>();
    private final Map<DataCentreId, Map<ShareGroup, ArrivalRate>> groups = new HashMap<>();
    private final Map<ShareGroup, Double> shares = new HashMap<>();
    private long sharesMillis = Long.MIN_VALUE;
    private double sharesCapacity;

    void recordArrival(long nowMillis, ShareGroup group) {
      total.recordArrival(nowMillis);
      dataCentres
          .computeIfAbsent(group.dataCentre(), id -> new ArrivalRate())
          .recordArrival(nowMillis);
      groups
          .computeIfAbsent(group.dataCentre(), id -> new HashMap<>())
          .computeIfAbsent(group, id -> new ArrivalRate())
          .recordArrival(nowMillis);
    }

    /** Returns the share of a group; each is computed once for a time and capacity. */
    double share(long nowMillis, ShareGroup group, double capacity) {
      if (nowMillis != sharesMillis || capacity != sharesCapacity) {
        shares.clear();
        sharesMillis = nowMillis;
        sharesCapacity = capacity;
      }
      Double known = shares.get(group);
      if (known == null) {
        double dataCentre = share(nowMillis, dataCentres, group.dataCentre(), capacity);
        known =
            share(nowMillis, groups.getOrDefault(group.dataCentre(), Map.of()), group, dataCentre);
        shares.put(group, known);
      }
      return known;
    }

    private static <K> double share(
        long nowMillis, Map<K, ArrivalRate> rates, K own, double capacity) {
      return rates.size() < 2
          ? capacity
          : MaxMinShare.of(
              capacity,
              rates.entrySet().stream()
                  .filter(entry -> !entry.getKey().equals(own))
                  .mapToDouble(entry -> entry.getValue().perSecond(nowMillis)));
    }

    void removeUnused(long nowMillis) {
      dataCentres.values().removeIf(rate -> rate.perSecond(nowMillis) < MIN_PER_SECOND);
      groups
          .values()
          .forEach(
              rates -> rates.values().removeIf(rate -> rate.perSecond(nowMillis) < MIN_PER_SECOND));
    }

    double perSecond(long nowMillis, ShareGroup group) {
      ArrivalRate rate = groups.getOrDefault(group.dataCentre(), Map.of()).get(group);
      return rate == null ? 0 : rate.perSecond(nowMillis);
    }
  }

  void recordArrival(long nowMillis, int priority, ShareGroup group) {
    byPriority.computeIfAbsent(priority, id -> new Rates()).recordArrival(nowMillis, group);
  }

  /** Returns the arrival rate of more urgent requests, in requests per second. */
  double moreUrgentPerSecond(long nowMillis, int priority) {
    return byPriority.headMap(priority, false).values().stream()
        .mapToDouble(rates -> rates.total.perSecond(nowMillis))
        .sum();
  }

  /** Returns the arrival rate of a group at a priority, in requests per second. */
  double perSecond(long nowMillis, int priority, ShareGroup group) {
    Rates rates = byPriority.get(priority);
    return rates == null ? 0 : rates.perSecond(nowMillis, group);
  }

  /**
   * Returns the throughput that a group can get for requests of a priority, in requests per second,
   * if the more urgent ones are served first and the others in fair shares.
   *
   * @param throughput throughput of the upstreams, in requests per second
   */
  double sharePerSecond(long nowMillis, int priority, ShareGroup group, double throughput) {
    double capacity = throughput - moreUrgentPerSecond(nowMillis, priority);
    Rates rates = byPriority.get(priority);
    return rates == null || capacity <= 0 ? capacity : rates.share(nowMillis, group, capacity);
  }

  /** Forgets groups that have sent nothing for some time. */
  void removeUnused(long nowMillis) {
    byPriority.values().forEach(rates -> rates.removeUnused(nowMillis));
  }
}
