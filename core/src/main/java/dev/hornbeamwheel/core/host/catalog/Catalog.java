package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What this process knows of configuration, upstreams and evacuated data centres.
 *
 * <p>A configuration is never replaced by an older one. An upstream that vanishes while the store
 * was away is kept for a while, since its registration may only have lapsed.
 */
public final class Catalog {
  /** Time after the store's return within which lapsed registrations come back. */
  static final long REREGISTRATION_GRACE_MILLIS = 2_000;

  /** Starts at one address that are remembered. */
  private static final int MAX_RECENT_PER_ADDRESS = 8;

  private final Map<UpstreamId, UpstreamRegistration> upstreams = new HashMap<>();
  private final Map<UpstreamId, Long> removalDueMillis = new HashMap<>();
  private final Map<Address, Deque<UpstreamRegistration>> recentByAddress = new HashMap<>();
  private final Set<DataCentreId> evacuated = new HashSet<>();
  private final Map<ServiceId, List<UpstreamRegistration>> usable = new HashMap<>();
  private FleetConfiguration configuration;
  private boolean upstreamsLoaded;
  private long storeReturnedMillis = Long.MIN_VALUE / 2;

  private Catalog() {}

  /** Returns a catalog that knows nothing yet. */
  public static Catalog empty() {
    return new Catalog();
  }

  /** Adopts a configuration; returns false if a version as late is known already. */
  public boolean configure(FleetConfiguration read) {
    if (configuration != null && configuration.version() >= read.version()) {
      return false;
    }
    configuration = read;
    return true;
  }

  /** Returns the latest configuration, or empty before the first. */
  public Optional<FleetConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /** Returns whether configuration and upstreams have been read once. */
  public boolean loaded() {
    return configuration != null && upstreamsLoaded;
  }

  /** Records that the store answers again after it did not. */
  public void storeReturned(long nowMillis) {
    storeReturnedMillis = nowMillis;
  }

  /** Adopts all registrations at once; those that are missing are removed. */
  public void replaceUpstreams(long nowMillis, Collection<UpstreamRegistration> entries) {
    upstreamsLoaded = true;
    Set<UpstreamId> present = new HashSet<>();
    entries.forEach(
        entry -> {
          present.add(entry.id());
          putUpstream(entry);
        });
    List.copyOf(upstreams.keySet()).stream()
        .filter(id -> !present.contains(id))
        .forEach(id -> removeUpstream(nowMillis, id));
  }

  /** Adopts one registration. */
  public void putUpstream(UpstreamRegistration entry) {
    upstreams.put(entry.id(), entry);
    usable.clear();
    removalDueMillis.remove(entry.id());
    Deque<UpstreamRegistration> seen =
        recentByAddress.computeIfAbsent(entry.address(), address -> new ArrayDeque<>());
    seen.removeIf(earlier -> earlier.incarnation().equals(entry.incarnation()));
    seen.addFirst(entry);
    if (seen.size() > MAX_RECENT_PER_ADDRESS) {
      seen.removeLast();
    }
  }

  /** Removes a registration, after a delay if the store was away a short time ago. */
  public void removeUpstream(long nowMillis, UpstreamId id) {
    long due = storeReturnedMillis + REREGISTRATION_GRACE_MILLIS;
    if (nowMillis < due) {
      removalDueMillis.putIfAbsent(id, due);
    } else {
      remove(id);
    }
  }

  /** Carries out the removals whose delay has passed; returns whether there were any. */
  public boolean tick(long nowMillis) {
    List<UpstreamId> due =
        removalDueMillis.entrySet().stream()
            .filter(entry -> nowMillis >= entry.getValue())
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(this::remove);
    return !due.isEmpty();
  }

  private void remove(UpstreamId id) {
    upstreams.remove(id);
    usable.clear();
    removalDueMillis.remove(id);
  }

  /** Replaces the set of data centres that operators have taken out. */
  public void evacuate(Set<DataCentreId> dataCentres) {
    evacuated.clear();
    evacuated.addAll(dataCentres);
    usable.clear();
  }

  /** Returns the registration of an upstream, or empty if it has none. */
  public Optional<UpstreamRegistration> upstream(UpstreamId id) {
    return Optional.ofNullable(upstreams.get(id));
  }

  /** Returns the upstreams of a service that may get new work; the same list until a change. */
  public List<UpstreamRegistration> usable(ServiceId service) {
    return usable.computeIfAbsent(
        service,
        id ->
            upstreams.values().stream()
                .filter(entry -> entry.service().equals(id) && usable(entry))
                .toList());
  }

  /** Returns whether an upstream may get new work. */
  public boolean usable(UpstreamRegistration entry) {
    return !entry.draining() && !evacuated.contains(entry.dataCentre());
  }

  /**
   * Returns whether a start of an upstream has surely ended: a later one was seen under its id or
   * at its address.
   */
  public boolean superseded(UpstreamIncarnation life, Address address) {
    UpstreamRegistration sameId = upstreams.get(life.id());
    if (sameId != null
        && hasDeclaredService(sameId)
        && sameId.incarnation().startedUnixMillis() > life.startedUnixMillis()) {
      return true;
    }
    Deque<UpstreamRegistration> seen = recentByAddress.get(address);
    return seen != null
        && seen.stream()
            .filter(entry -> entry.incarnation().startedUnixMillis() > life.startedUnixMillis())
            .anyMatch(this::hasDeclaredService);
  }

  /** Returns whether a registration names a service of the configuration; others prove nothing. */
  private boolean hasDeclaredService(UpstreamRegistration entry) {
    return configuration != null && configuration.service(entry.service()).isPresent();
  }
}
