package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.keys.KnownOwners;
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
final class LocalUpstreamSelector {
  /** An upstream that refused a connection is left out for so long, in milliseconds. */
  private static final long UNREACHABLE_EXCLUSION_MILLIS = 700;

  /** What another data centre counts, in running requests. */
  private static final double REMOTE_DATA_CENTRE_COST = 0.9;

  private final Catalog catalog;
  private final DataCentreId localDataCentre;
  private final Random random;
  private final Map<UpstreamId, Integer> runningCounts = new HashMap<>();
  private final Map<UpstreamId, Long> unreachableUntil = new HashMap<>();
  private final Map<UpstreamId, Long> lastColdSendMillis = new HashMap<>();
  private final Map<ServiceId, KnownOwners> owners = new HashMap<>();
  private int hosts = 1;

  LocalUpstreamSelector(Catalog catalog, DataCentreId here, Random random) {
    this.catalog = catalog;
    this.localDataCentre = here;
    this.random = random;
  }

  /** Returns the known owners of a service's keys, to be changed. */
  KnownOwners owners(ServiceId service) {
    return owners.computeIfAbsent(service, id -> KnownOwners.none());
  }

  void hosts(int number) {
    hosts = Math.max(1, number);
  }

  void attemptStarted(UpstreamId upstream) {
    runningCounts.merge(upstream, 1, Integer::sum);
  }

  void attemptEnded(UpstreamId upstream) {
    runningCounts.computeIfPresent(upstream, (id, count) -> count <= 1 ? null : count - 1);
  }

  void markUnreachable(long nowMillis, UpstreamId upstream) {
    unreachableUntil.put(upstream, nowMillis + UNREACHABLE_EXCLUSION_MILLIS);
  }

  void markReachable(UpstreamId upstream) {
    unreachableUntil.remove(upstream);
  }

  boolean reachable(long nowMillis, UpstreamId upstream) {
    Long until = unreachableUntil.get(upstream);
    return until == null || nowMillis >= until;
  }

  /** Returns the upstreams that this host cannot reach now. */
  Set<UpstreamId> unreachableUpstreams(long nowMillis) {
    unreachableUntil.values().removeIf(until -> nowMillis >= until);
    return Set.copyOf(unreachableUntil.keySet());
  }

  Optional<UpstreamEntry> select(
      long nowMillis, ServiceId service, OptionalInt key, Set<UpstreamId> avoid) {
    if (key.isPresent()) {
      return usableOwner(service, key.getAsInt())
          .filter(entry -> reachable(nowMillis, entry.id()) && canAccept(nowMillis, entry));
    }
    List<UpstreamEntry> free =
        catalog.usable(service).stream()
            .filter(entry -> !avoid.contains(entry.id()) && reachable(nowMillis, entry.id()))
            .filter(entry -> canAccept(nowMillis, entry))
            .toList();
    if (free.isEmpty()) {
      return Optional.empty();
    }
    List<UpstreamEntry> near =
        free.stream().filter(entry -> entry.dataCentre().equals(localDataCentre)).toList();
    UpstreamEntry first = randomEntry(near.isEmpty() ? free : near);
    UpstreamEntry second = randomEntry(free);
    return List.of(first, second).stream()
        .min(Comparator.comparingDouble(this::cost))
        .map(entry -> recordColdSend(nowMillis, entry));
  }

  private Optional<UpstreamEntry> usableOwner(ServiceId service, int key) {
    return owners(service).owner(key).flatMap(catalog::upstream).filter(catalog::usable);
  }

  private boolean canAccept(long nowMillis, UpstreamEntry entry) {
    if (runningCounts.getOrDefault(entry.id(), 0) >= entry.slots()) {
      return false;
    }
    if (!entry.cold(nowMillis)) {
      return true;
    }
    double perSecond =
        catalog
            .configuration()
            .flatMap(configuration -> configuration.service(entry.service()))
            .map(ServiceSpec::coldPerSecond)
            .orElse(0.0);
    long last = lastColdSendMillis.getOrDefault(entry.id(), Long.MIN_VALUE / 2);
    return perSecond <= 0 || nowMillis - last > hosts * 1_000 / perSecond;
  }

  private UpstreamEntry recordColdSend(long nowMillis, UpstreamEntry entry) {
    if (entry.cold(nowMillis)) {
      lastColdSendMillis.put(entry.id(), nowMillis);
    }
    return entry;
  }

  private double cost(UpstreamEntry entry) {
    double distance = entry.dataCentre().equals(localDataCentre) ? 0 : REMOTE_DATA_CENTRE_COST;
    return runningCounts.getOrDefault(entry.id(), 0) + distance;
  }

  private UpstreamEntry randomEntry(List<UpstreamEntry> entries) {
    return entries.get(random.nextInt(entries.size()));
  }
}
