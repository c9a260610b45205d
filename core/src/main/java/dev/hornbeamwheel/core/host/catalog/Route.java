package dev.hornbeamwheel.core.host.catalog;

import dev.hornbeamwheel.core.model.RouteId;
import java.util.List;

/**
 * Maps the requests for a host name and path prefix to services.
 *
 * @param name name of the route
 * @param host value of the Host header, in lower case
 * @param prefix path prefix, which starts and ends with a slash
 * @param kind whether its requests are idempotent
 * @param maxAttempts maximum number of upstreams on which one request may run
 * @param timeoutMillis maximum time until the final response, in milliseconds
 * @param targetLatencyMillis time within which the response is wanted, in milliseconds
 * @param priority priority; zero is the highest
 * @param services services that share the requests by weight; at least one
 * @param publicRoute whether callers need no API key
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    int maxAttempts,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    List<WeightedService> services,
    boolean publicRoute) {
  /** Creates a route with a copy of the list of services. */
  public Route {
    services = List.copyOf(services);
  }

  /** Creates a route whose callers need an API key if the configuration has organisations. */
  public Route(
      String name,
      String host,
      String prefix,
      RequestKind kind,
      int maxAttempts,
      long timeoutMillis,
      long targetLatencyMillis,
      int priority,
      List<WeightedService> services) {
    this(
        name,
        host,
        prefix,
        kind,
        maxAttempts,
        timeoutMillis,
        targetLatencyMillis,
        priority,
        services,
        false);
  }

  /** Returns the id of the route. */
  public RouteId id() {
    return RouteId.of(name);
  }

  boolean matches(String requestHost, String path) {
    return host.equals(requestHost) && path.startsWith(prefix);
  }
}
