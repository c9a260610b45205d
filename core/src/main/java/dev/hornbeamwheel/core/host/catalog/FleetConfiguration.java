package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.host.organisations.Organisations;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** A version of the routes, services and limits that operators declare; immutable. */
public final class FleetConfiguration {
  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<ServiceId, ServiceSpec> services;
  private final CallerLimits limits;
  private final Organisations organisations;

  private FleetConfiguration(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      CallerLimits limits,
      Organisations organisations) {
    this.version = version;
    this.routesByHost =
        routes.stream()
            .sorted(LONGEST_PREFIX_FIRST)
            .collect(Collectors.groupingBy(Route::host, Collectors.toUnmodifiableList()));
    this.services =
        services.stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    ServiceSpec::id, Function.identity(), (first, second) -> second));
    this.limits = limits;
    this.organisations = organisations;
  }

  /**
   * Returns a configuration without organisations.
   *
   * @param version version number, which increases with each change
   */
  public static FleetConfiguration of(
      long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
    return of(version, routes, services, limits, Organisations.none());
  }

  /**
   * Returns a configuration with organisations.
   *
   * @param version version number, which increases with each change
   */
  public static FleetConfiguration of(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      CallerLimits limits,
      Organisations organisations) {
    return new FleetConfiguration(version, routes, services, limits, organisations);
  }

  /** Returns the version number. */
  public long version() {
    return version;
  }

  /** Returns the limits on callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the organisations, whose callers have keys. */
  public Organisations organisations() {
    return organisations;
  }

  /** Returns the declaration of a service, or empty if it is not declared. */
  public Optional<ServiceSpec> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  /** Returns the ids of all declared services. */
  public Set<ServiceId> services() {
    return services.keySet();
  }

  /** Returns the services whose keys are owned by upstreams, sorted by id. */
  public List<ServiceSpec> keyedServices() {
    return services.values().stream()
        .filter(ServiceSpec::keyed)
        .sorted(Comparator.comparing(ServiceSpec::id))
        .toList();
  }

  /**
   * Returns the route with the longest matching prefix, or empty if no route matches.
   *
   * @param host value of the Host header, with or without a port
   * @param path request path, without the query
   */
  public Optional<Route> route(String host, String path) {
    String name = hostName(host);
    return routesByHost.getOrDefault(name, List.of()).stream()
        .filter(route -> route.matches(name, path))
        .findFirst();
  }

  /** Returns the name in the value of a Host header, by which requests are routed. */
  public static String hostName(String hostHeader) {
    int colon = hostHeader.lastIndexOf(':');
    String name = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
