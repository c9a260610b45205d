package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.capacity.HostLimits;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.cold.ColdAllowance;
import dev.hornbeamwheel.core.host.keys.KeyOwnerCache;
import dev.hornbeamwheel.core.host.shares.ShareAllowance;
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
 * Selects an upstream without the coordinator.
 *
 * <p>A request with a key goes to the last known owner of the key. Any other request goes to the
 * better of two random upstreams, the first one in the local data centre if possible, by the number
 * of requests that this host runs there. Where shares limit what hosts send without the
 * coordinator, {@link UpstreamRotation} selects instead of chance.
 */
final class LocalUpstreamSelector {
  /** Time for which an unreachable upstream is excluded, in milliseconds. */
  private static final long UNREACHABLE_EXCLUSION_MILLIS = 700;

  /** Cost of an upstream in another data centre, in running requests. */
  private static final double REMOTE_DATA_CENTRE_COST = 0.9;

  /**
   * Time after a standstill of this process in which any upstream may be cold without its
   * knowledge, in milliseconds; enough to read the registrations.
   */
  private static final long RELEARN_MILLIS = 1_500;

  private final Catalog catalog;
  private final DataCentreId localDataCentre;
  private final Random random;
  private final Map<UpstreamId, Integer> runningCounts = new HashMap<>();
  private final Map<UpstreamId, Long> unreachableUntil = new HashMap<>();
  private final Map<ServiceId, KeyOwnerCache> owners = new HashMap<>();
  private final ColdAllowance coldAllowance;
  private final ShareAllowance shares;
  private final UpstreamRotation rotation;
  private final HostLimits hostLimits = HostLimits.empty();
  private long relearnedMillis = Long.MIN_VALUE;

  /**
   * Creates a selector.
   *
   * @param shares limits the requests that this host runs at an upstream
   */
  LocalUpstreamSelector(
      Catalog catalog, DataCentreId localDataCentre, Random random, ShareAllowance shares) {
    this.catalog = catalog;
    this.localDataCentre = localDataCentre;
    this.random = random;
    this.coldAllowance = ColdAllowance.create(localDataCentre);
    this.shares = shares;
    this.rotation = new UpstreamRotation(random);
  }

  /** Returns the data centre of this host. */
  DataCentreId localDataCentre() {
    return localDataCentre;
  }

  /** Returns what this host may send to cold upstreams, as a mutable object. */
  ColdAllowance coldAllowance() {
    return coldAllowance;
  }

  /** Returns the learned limits of upstreams, as a mutable object. */
  HostLimits hostLimits() {
    return hostLimits;
  }

  /** Returns the known key owners of a service, as a mutable object. */
  KeyOwnerCache owners(ServiceId service) {
    return owners.computeIfAbsent(service, id -> KeyOwnerCache.empty());
  }

  /** Records that this process continues after it stood still. */
  void resumed(long nowMillis) {
    relearnedMillis = nowMillis + RELEARN_MILLIS;
  }

  void attemptStarted(UpstreamId upstream) {
    runningCounts.merge(upstream, 1, Integer::sum);
    rotation.recordSend(upstream);
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

  /** Returns the upstreams that are currently excluded as unreachable. */
  Set<UpstreamId> unreachableUpstreams(long nowMillis) {
    unreachableUntil.values().removeIf(until -> nowMillis >= until);
    return Set.copyOf(unreachableUntil.keySet());
  }

  /** Returns the upstream for a request, or empty if none can accept it. */
  Optional<UpstreamRegistration> select(
      long nowMillis, ServiceId service, OptionalInt key, Set<UpstreamId> excludedUpstreams) {
    if (key.isPresent()) {
      return usableOwner(service, key.getAsInt())
          .filter(entry -> reachable(nowMillis, entry.id()) && canAccept(nowMillis, entry))
          .map(entry -> recordColdSend(nowMillis, entry));
    }
    List<UpstreamRegistration> candidates =
        catalog.usable(service).stream()
            .filter(
                entry ->
                    !excludedUpstreams.contains(entry.id()) && reachable(nowMillis, entry.id()))
            .filter(entry -> canAccept(nowMillis, entry))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    List<UpstreamRegistration> localCandidates =
        candidates.stream().filter(entry -> entry.dataCentre().equals(localDataCentre)).toList();
    UpstreamRegistration first = choose(localCandidates.isEmpty() ? candidates : localCandidates);
    UpstreamRegistration second = choose(candidates);
    return List.of(first, second).stream()
        .min(Comparator.comparingDouble(this::cost))
        .map(entry -> recordColdSend(nowMillis, entry));
  }

  /** Returns the last known owner of a key, if it is usable. */
  Optional<UpstreamRegistration> owner(ServiceId service, OptionalInt key) {
    return key.isPresent() ? usableOwner(service, key.getAsInt()) : Optional.empty();
  }

  private Optional<UpstreamRegistration> usableOwner(ServiceId service, int key) {
    return owners(service).owner(key).flatMap(catalog::upstream).filter(catalog::usable);
  }

  /**
   * Returns whether an upstream can accept a request of this host; a cold one only within the
   * allowance of this host.
   */
  boolean canAccept(long nowMillis, UpstreamRegistration entry) {
    if (running(entry) >= Math.min(shares.runningLimit(entry), hostLimits.limit(entry))) {
      return false;
    }
    if (!maybeCold(nowMillis, entry)) {
      return true;
    }
    double coldPerSecond = catalog.coldRequestsPerSecond(entry.service());
    return coldPerSecond <= 0 || coldAllowance.canSend(nowMillis, entry, coldPerSecond);
  }

  private boolean maybeCold(long nowMillis, UpstreamRegistration entry) {
    return entry.cold(nowMillis) || nowMillis < relearnedMillis;
  }

  private UpstreamRegistration recordColdSend(long nowMillis, UpstreamRegistration entry) {
    double coldPerSecond = catalog.coldRequestsPerSecond(entry.service());
    if (maybeCold(nowMillis, entry) && coldPerSecond > 0) {
      coldAllowance.recordSend(nowMillis, entry, coldPerSecond);
    }
    return entry;
  }

  private double cost(UpstreamRegistration entry) {
    double distanceCost = entry.dataCentre().equals(localDataCentre) ? 0 : REMOTE_DATA_CENTRE_COST;
    return running(entry) + distanceCost;
  }

  private int running(UpstreamRegistration entry) {
    return runningCounts.getOrDefault(entry.id(), 0);
  }

  private UpstreamRegistration choose(List<UpstreamRegistration> entries) {
    return entries.stream().anyMatch(shares::limited)
        ? rotation.next(entries, this::running)
        : randomEntry(entries);
  }

  private UpstreamRegistration randomEntry(List<UpstreamRegistration> entries) {
    return entries.get(random.nextInt(entries.size()));
  }
}
