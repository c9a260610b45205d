package dev.hornbeamwheel.core.host.catalog;

import java.util.List;

/**
 * Where the requests of one host name and path prefix go.
 *
 * @param name name of the route
 * @param host value of the Host header, in lower case
 * @param prefix start of the path; begins and ends with a slash
 * @param kind whether its requests may be repeated
 * @param maxAttempts most upstreams that one request may run on
 * @param timeoutMillis longest time until the final answer, in milliseconds
 * @param targetLatencyMillis time within which callers want the answer, in milliseconds
 * @param priority rank; zero goes first
 * @param services one service, or several that share the requests by weight
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
    List<WeightedService> services) {
  /** Copies the list. */
  public Route {
    services = List.copyOf(services);
  }

  boolean matches(String requestHost, String path) {
    return host.equals(requestHost) && path.startsWith(prefix);
  }
}
