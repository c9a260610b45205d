package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Recognises the hot keys of a service: those with more requests than one upstream can serve.
 *
 * <p>Only keys of owners with at least {@link #MIN_SLOTS} slots are judged. A key on a cold owner
 * is not, because what a cold upstream may get says nothing about what it can serve.
 */
final class HotKeys {
  /** Minimum number of slots of an owner, one of which is kept for its other keys. */
  static final int MIN_SLOTS = 3;

  /** Interval between two judgements, in milliseconds; a fraction of the time for recognition. */
  private static final long UPDATE_INTERVAL_MILLIS = 100;

  /**
   * Standard deviations by which the requests must exceed what an upstream can serve. The number of
   * requests in a window varies by the square root of its mean, and thousands of keys are judged.
   */
  private static final double MIN_DEVIATIONS = 4;

  /** Minimum number of requests in the window; fewer deviate that much from none by chance. */
  private static final int MIN_COUNT = (int) (MIN_DEVIATIONS * MIN_DEVIATIONS);

  /**
   * Part of what an upstream can serve below which a hot key has cooled down. A key between this
   * and the whole stays as it is, so that it does not change its state with each judgement.
   */
  private static final double COOLED_FRACTION = 0.5;

  private final ServiceId service;
  private final Catalog catalog;
  private final KeyDemand demand;
  private final Capacity capacity;
  private NavigableMap<Integer, HotKey> hot = Collections.emptyNavigableMap();
  private long nextUpdateMillis;

  /**
   * A hot key.
   *
   * @param owner the upstream that holds it or will hold it
   * @param requestsPerSecond requests for it
   * @param ownerPerSecond requests per second that an upstream like its owner can serve
   * @param alone whether its owner has no other key
   */
  record HotKey(
      int key, UpstreamId owner, double requestsPerSecond, double ownerPerSecond, boolean alone) {}

  private HotKeys(ServiceId service, Catalog catalog, KeyDemand demand, Capacity capacity) {
    this.service = service;
    this.catalog = catalog;
    this.demand = demand;
    this.capacity = capacity;
  }

  /** Returns an empty set of hot keys, which {@link #update} fills. */
  static HotKeys of(ServiceId service, Catalog catalog, KeyDemand demand, Capacity capacity) {
    return new HotKeys(service, catalog, demand, capacity);
  }

  /** Judges all keys again if that is due; returns log entries for the keys that changed. */
  List<KeyEffect> update(long nowMillis, OwnedRanges ranges, KeyDecisionLog log) {
    if (nowMillis < nextUpdateMillis) {
      return List.of();
    }
    nextUpdateMillis = nowMillis + UPDATE_INTERVAL_MILLIS;
    Map<Integer, HotKey> before = hot;
    hot = judge(nowMillis, ranges);
    return Stream.concat(
            hot.values().stream()
                .filter(key -> !before.containsKey(key.key()))
                .map(key -> log.entry("key-hot", "key " + key.key(), describe(key))),
            before.values().stream()
                .filter(key -> !hot.containsKey(key.key()))
                .map(key -> log.entry("key-cooled", "key " + key.key(), describe(key))))
        .map(KeyEffect.class::cast)
        .toList();
  }

  private static String describe(HotKey key) {
    return String.format(
        "%.0f requests/s, its owner %s serves %.0f",
        key.requestsPerSecond(), key.owner(), key.ownerPerSecond());
  }

  KeyLoad load(int key) {
    HotKey found = hot.get(key);
    if (found == null) {
      return KeyLoad.NORMAL;
    }
    return found.alone() ? KeyLoad.HOT_ALONE : KeyLoad.HOT;
  }

  private boolean contains(int key) {
    return hot.containsKey(key);
  }

  /** Returns the hot keys, sorted by key. */
  Collection<HotKey> all() {
    return hot.values();
  }

  private NavigableMap<Integer, HotKey> judge(long nowMillis, OwnedRanges ranges) {
    NavigableMap<Integer, HotKey> found = new TreeMap<>();
    List<Integer> candidates =
        demand.requestCounts(KeyRange.ALL).entrySet().stream()
            .filter(entry -> entry.getValue() >= MIN_COUNT || contains(entry.getKey()))
            .map(Map.Entry::getKey)
            .toList();
    if (!candidates.isEmpty()) {
      double meanPerSecond = meanPerSecond();
      candidates.stream()
          .flatMap(key -> judged(nowMillis, ranges, key, meanPerSecond).stream())
          .filter(this::isHot)
          .forEach(key -> found.put(key.key(), key));
    }
    return found;
  }

  /** Returns a key that can be judged, with its requests and its owner. */
  private Optional<HotKey> judged(
      long nowMillis, OwnedRanges ranges, int key, double meanPerSecond) {
    return ranges
        .find(key)
        .map(range -> range.assignment().owner().incarnation().id())
        .flatMap(catalog::upstream)
        .filter(owner -> owner.slots() >= MIN_SLOTS && !owner.cold(nowMillis))
        .map(
            owner ->
                new HotKey(
                    key,
                    owner.id(),
                    demand.requestsPerSecond(key),
                    // An owner that is slow for a moment, or fails, makes none of its keys hot.
                    Math.max(meanPerSecond, capacity.requestsPerSecond(owner)),
                    keys(ranges, owner.id()) == 1));
  }

  private static int keys(OwnedRanges ranges, UpstreamId owner) {
    return ranges.stream()
        .filter(range -> range.assignment().owner().incarnation().id().equals(owner))
        .mapToInt(range -> range.range().size())
        .sum();
  }

  private double meanPerSecond() {
    return catalog.usable(service).stream()
        .mapToDouble((UpstreamRegistration upstream) -> capacity.requestsPerSecond(upstream))
        .average()
        .orElse(0);
  }

  private boolean isHot(HotKey key) {
    if (contains(key.key())) {
      return key.requestsPerSecond() >= key.ownerPerSecond() * COOLED_FRACTION;
    }
    double servedCount = demand.expectedCount(key.ownerPerSecond());
    double count = demand.expectedCount(key.requestsPerSecond());
    return count >= servedCount + MIN_DEVIATIONS * Math.sqrt(servedCount);
  }
}
