package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.host.organisations.Organisations;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The configuration, upstreams and evacuated data centres that this process knows.
 *
 * <p>A configuration is never replaced by an older one. If a registration is missing soon after the
 * store was unavailable, the upstream is kept for a while, because the registration may have
 * expired while the upstream could not renew it.
 */
public final class Catalog {
  /**
   * Time after the last failed call to the store for which missing registrations are kept, in
   * milliseconds. An upstream that leaves must get no request 2 s after the store's return, and 100
   * ms are left for the tick and a request on its way. An upstream that registers again later than
   * this is missing for a moment.
   */
  static final long REREGISTRATION_GRACE_MILLIS = 1_900;

  /**
   * Shortest time between the first failed call to the store and its return in which registrations
   * may have expired, in milliseconds. It is longer than the pause after a single failed call and
   * the long poll that follows it.
   */
  static final long MIN_EXPIRY_OUTAGE_MILLIS = 1_300;

  /** Maximum number of leaving upstreams that are remembered. */
  static final int MAX_LEAVING = 5_000;

  /** Maximum number of incarnations that are remembered per address. */
  private static final int MAX_RECENT_PER_ADDRESS = 8;

  private final Map<UpstreamId, UpstreamRegistration> upstreams = new HashMap<>();
  private final Map<UpstreamId, Long> removalDueMillis = new HashMap<>();
  private final Map<Address, Deque<UpstreamRegistration>> recentByAddress = new HashMap<>();
  private final Set<DataCentreId> evacuated = new HashSet<>();

  /** Upstreams that leave by their own word, in the order in which they said so. */
  private final Set<UpstreamIncarnation> leaving = new LinkedHashSet<>();

  private final Map<ServiceId, List<UpstreamRegistration>> usable = new HashMap<>();
  private FleetConfiguration configuration;
  private boolean upstreamsLoaded;
  private long keepMissingUntilMillis = Long.MIN_VALUE;

  private Catalog() {}

  /** Returns a catalog without a configuration or upstreams. */
  public static Catalog empty() {
    return new Catalog();
  }

  /** Adopts a configuration; returns false if the same or a later version is already known. */
  public boolean configure(FleetConfiguration latest) {
    if (configuration != null && configuration.version() >= latest.version()) {
      return false;
    }
    configuration = latest;
    return true;
  }

  /** Returns the latest configuration, or empty if none has been read. */
  public Optional<FleetConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /** Returns the organisations of the latest configuration; none before the first one. */
  public Organisations organisations() {
    return configuration == null ? Organisations.none() : configuration.organisations();
  }

  /**
   * Returns the requests per second that a cold upstream of a service can serve; zero if they are
   * unlimited or the service is not declared.
   */
  public double coldRequestsPerSecond(ServiceId service) {
    return configuration()
        .flatMap(declared -> declared.service(service))
        .map(ServiceSpec::coldRequestsPerSecond)
        .orElse(0.0);
  }

  /** Returns whether the configuration and the upstreams have been read. */
  public boolean loaded() {
    return configuration != null && upstreamsLoaded;
  }

  /**
   * Records that the store responds again.
   *
   * @param outageMillis time since the first call that failed, in milliseconds; after a short
   *     outage, a registration that is missing is that of an upstream which leaves
   * @param lastFailedCallAtMillis when the last call that failed began; other parties may have
   *     reached the store at any time since then
   */
  public void storeReturned(long outageMillis, long lastFailedCallAtMillis) {
    if (outageMillis >= MIN_EXPIRY_OUTAGE_MILLIS) {
      keepMissingUntilMillis = lastFailedCallAtMillis + REREGISTRATION_GRACE_MILLIS;
    }
  }

  /** Replaces all registrations; upstreams that are missing are removed. */
  public void replaceUpstreams(long nowMillis, Collection<UpstreamRegistration> registrations) {
    upstreamsLoaded = true;
    Set<UpstreamId> present = new HashSet<>();
    registrations.forEach(
        registration -> {
          present.add(registration.id());
          putUpstream(registration);
        });
    List.copyOf(upstreams.keySet()).stream()
        .filter(id -> !present.contains(id))
        .forEach(id -> removeUpstream(nowMillis, id));
  }

  /** Adds or updates a registration. */
  public void putUpstream(UpstreamRegistration registration) {
    upstreams.put(registration.id(), registration);
    usable.clear();
    removalDueMillis.remove(registration.id());
    Deque<UpstreamRegistration> recent =
        recentByAddress.computeIfAbsent(registration.address(), address -> new ArrayDeque<>());
    recent.removeIf(earlier -> earlier.incarnation().equals(registration.incarnation()));
    recent.addFirst(registration);
    if (recent.size() > MAX_RECENT_PER_ADDRESS) {
      recent.removeLast();
    }
  }

  /** Removes a registration, with a delay if the store has only just become available again. */
  public void removeUpstream(long nowMillis, UpstreamId id) {
    if (nowMillis < keepMissingUntilMillis) {
      removalDueMillis.putIfAbsent(id, keepMissingUntilMillis);
    } else {
      remove(id);
    }
  }

  /** Performs the delayed removals that are due; returns whether there were any. */
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

  /** Replaces the set of data centres that operators have evacuated. */
  public void evacuate(Set<DataCentreId> dataCentres) {
    evacuated.clear();
    evacuated.addAll(dataCentres);
    usable.clear();
  }

  /** Returns the registration of an upstream, or empty if it has none. */
  public Optional<UpstreamRegistration> upstream(UpstreamId id) {
    return Optional.ofNullable(upstreams.get(id));
  }

  /**
   * Returns the upstreams of a service that may get new work.
   *
   * <p>The list is cached until upstreams or evacuations change.
   */
  public List<UpstreamRegistration> usable(ServiceId service) {
    return usable.computeIfAbsent(
        service,
        id ->
            upstreams.values().stream()
                .filter(registration -> registration.service().equals(id) && usable(registration))
                .toList());
  }

  /** Returns whether an upstream may get new work. */
  public boolean usable(UpstreamRegistration registration) {
    return !registration.draining()
        && !evacuated.contains(registration.dataCentre())
        && !leaving.contains(registration.incarnation());
  }

  /** Returns why an upstream may not get new work, or empty if it may; for operators. */
  public Optional<String> obstacle(UpstreamRegistration registration) {
    if (registration.draining()) {
      return Optional.of("draining");
    }
    if (evacuated.contains(registration.dataCentre())) {
      return Optional.of("its data centre is evacuated");
    }
    return leaving.contains(registration.incarnation())
        ? Optional.of("has announced that it is leaving")
        : Optional.empty();
  }

  /** Returns all registered upstreams of a service in the order of their ids. */
  public List<UpstreamRegistration> upstreams(ServiceId service) {
    return upstreams.values().stream()
        .filter(registration -> registration.service().equals(service))
        .sorted(Comparator.comparing(registration -> registration.id().value()))
        .toList();
  }

  /**
   * Records that an upstream leaves by its own word. That holds for as long as it lives, whatever
   * its registration says; a later start under its id is not concerned.
   *
   * @return whether it was not known
   */
  public boolean markLeaving(UpstreamIncarnation upstream) {
    if (!leaving.add(upstream)) {
      return false;
    }
    usable.clear();
    if (leaving.size() > MAX_LEAVING) {
      leaving.remove(leaving.iterator().next());
    }
    return true;
  }

  /** Returns the registered upstreams that leave by their own word. */
  public List<UpstreamIncarnation> leaving() {
    return leaving.stream().filter(this::registered).toList();
  }

  private boolean registered(UpstreamIncarnation incarnation) {
    return upstream(incarnation.id())
        .filter(registration -> registration.incarnation().equals(incarnation))
        .isPresent();
  }

  /**
   * Returns whether an incarnation of an upstream has certainly ended.
   *
   * <p>That is so if a later incarnation was seen under the same id or at the same address.
   */
  public boolean superseded(UpstreamIncarnation incarnation, Address address) {
    UpstreamRegistration sameId = upstreams.get(incarnation.id());
    if (sameId != null
        && hasDeclaredService(sameId)
        && sameId.incarnation().startedUnixMillis() > incarnation.startedUnixMillis()) {
      return true;
    }
    Deque<UpstreamRegistration> recent = recentByAddress.get(address);
    return recent != null
        && recent.stream()
            .filter(
                registration ->
                    registration.incarnation().startedUnixMillis()
                        > incarnation.startedUnixMillis())
            .anyMatch(this::hasDeclaredService);
  }

  /** Returns whether the service of a registration is declared; others are not trusted. */
  private boolean hasDeclaredService(UpstreamRegistration registration) {
    return configuration != null && configuration.service(registration.service()).isPresent();
  }
}
