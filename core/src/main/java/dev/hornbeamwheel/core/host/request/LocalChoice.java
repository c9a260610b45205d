package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.keys.KeyOwnerCache;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

/**
 * Chooses an upstream without the coordinator: the better of two, by this host's own requests
 * there, near ones first; for a key, its last known owner.
 */
final class LocalChoice {
  /** An upstream that refused a connection is left out for so long, in milliseconds. */
  private static final long UNREACHABLE_MILLIS = 700;

  /** What another data centre counts, in running requests. */
  private static final double FAR_COST = 0.9;

  private final Catalog catalog;
  private final DataCentreId here;
  private final Random random;
  private final Map<UpstreamId, Integer> running = new HashMap<>();
  private final Map<UpstreamId, Long> unreachableUntil = new HashMap<>();
  private final Map<UpstreamId, Long> coldSentMillis = new HashMap<>();
  private final Map<ServiceId, KeyOwnerCache> owners = new HashMap<>();
  private int hosts = 1;

  LocalChoice(Catalog catalog, DataCentreId here, Random random) {
    this.catalog = catalog;
    this.here = here;
    this.random = random;
  }

  /** Returns the known owners of a service's keys, to be changed. */
  KeyOwnerCache owners(ServiceId service) {
    return owners.computeIfAbsent(service, id -> KeyOwnerCache.empty());
  }

  void hosts(int number) {
    hosts = Math.max(1, number);
  }

  void began(UpstreamId upstream) {
    running.merge(upstream, 1, Integer::sum);
  }

  void ended(UpstreamId upstream) {
    running.computeIfPresent(upstream, (id, count) -> count <= 1 ? null : count - 1);
  }

  void noteUnreachable(long nowMillis, UpstreamId upstream) {
    unreachableUntil.put(upstream, nowMillis + UNREACHABLE_MILLIS);
  }

  void noteReachable(UpstreamId upstream) {
    unreachableUntil.remove(upstream);
  }

  boolean reachable(long nowMillis, UpstreamId upstream) {
    Long until = unreachableUntil.get(upstream);
    return until == null || nowMillis >= until;
  }

  /** Returns the upstreams that this host cannot reach now. */
  Set<UpstreamId> unreachable(long nowMillis) {
    unreachableUntil.values().removeIf(until -> nowMillis >= until);
    return Set.copyOf(unreachableUntil.keySet());
  }

  Optional<UpstreamRegistration> choose(
      long nowMillis, ServiceId service, OptionalInt key, Set<UpstreamId> avoid) {
    if (key.isPresent()) {
      return owner(service, key.getAsInt())
          .filter(entry -> reachable(nowMillis, entry.id()) && room(nowMillis, entry));
    }
    List<UpstreamRegistration> free =
        catalog.usable(service).stream()
            .filter(entry -> !avoid.contains(entry.id()) && reachable(nowMillis, entry.id()))
            .filter(entry -> room(nowMillis, entry))
            .toList();
    if (free.isEmpty()) {
      return Optional.empty();
    }
    List<UpstreamRegistration> near =
        free.stream().filter(entry -> entry.dataCentre().equals(here)).toList();
    UpstreamRegistration first = any(near.isEmpty() ? free : near);
    UpstreamRegistration second = any(free);
    return List.of(first, second).stream()
        .min(Comparator.comparingDouble(this::cost))
        .map(entry -> noteCold(nowMillis, entry));
  }

  private Optional<UpstreamRegistration> owner(ServiceId service, int key) {
    return owners(service).owner(key).flatMap(catalog::upstream).filter(catalog::usable);
  }

  private boolean room(long nowMillis, UpstreamRegistration entry) {
    if (running.getOrDefault(entry.id(), 0) >= entry.slots()) {
      return false;
    }
    if (!entry.cold(nowMillis)) {
      return true;
    }
    double perSecond =
        catalog
            .configuration()
            .flatMap(configuration -> configuration.service(entry.service()))
            .map(ServiceSpec::coldRequestsPerSecond)
            .orElse(0.0);
    long last = coldSentMillis.getOrDefault(entry.id(), Long.MIN_VALUE / 2);
    return perSecond <= 0 || nowMillis - last > hosts * 1_000 / perSecond;
  }

  private UpstreamRegistration noteCold(long nowMillis, UpstreamRegistration entry) {
    if (entry.cold(nowMillis)) {
      coldSentMillis.put(entry.id(), nowMillis);
    }
    return entry;
  }

  private double cost(UpstreamRegistration entry) {
    double distance = entry.dataCentre().equals(here) ? 0 : FAR_COST;
    return running.getOrDefault(entry.id(), 0) + distance;
  }

  private UpstreamRegistration any(List<UpstreamRegistration> entries) {
    return entries.get(random.nextInt(entries.size()));
  }
}
