package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.request.RouteQuery;
import dev.hornbeamwheel.core.model.OrganisationId;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The page that explains where a request would be routed now, as JSON lines in the format of the
 * log. Its query has {@code host} and {@code path}, and optionally {@code key} and {@code
 * organisation}.
 */
final class ExplainPage {
  /** Path of the page. */
  static final String PATH = "/explain";

  private final String host;
  private final Function<RouteQuery, List<LogEntry>> explain;

  /**
   * Creates the page.
   *
   * @param host name of this host
   * @param explain explains the routing of a request
   */
  ExplainPage(String host, Function<RouteQuery, List<LogEntry>> explain) {
    this.host = host;
    this.explain = explain;
  }

  /** Returns the explanation for the query of a URI. */
  MonitoringHttpServer.Response respond(String uri) {
    QueryStringDecoder decoder = new QueryStringDecoder(uri);
    Map<String, List<String>> query = decoder.parameters();
    if (!decoder.path().equals(PATH)) {
      return MonitoringHttpServer.Response.empty(HttpResponseStatus.NOT_FOUND);
    }
    try {
      long unixMillis = System.currentTimeMillis();
      String lines =
          explain.apply(routeQuery(query)).stream()
              .map(entry -> JsonLogFormatter.format(unixMillis, host, entry))
              .collect(Collectors.joining("\n", "", "\n"));
      return new MonitoringHttpServer.Response(HttpResponseStatus.OK, lines);
    } catch (IllegalArgumentException e) {
      return new MonitoringHttpServer.Response(
          HttpResponseStatus.BAD_REQUEST, "invalid query: " + e.getMessage() + "\n");
    }
  }

  private static RouteQuery routeQuery(Map<String, List<String>> query) {
    return new RouteQuery(
        first(query, "host")
            .orElseThrow(() -> new IllegalArgumentException("the parameter host is missing")),
        first(query, "path")
            .orElseThrow(() -> new IllegalArgumentException("the parameter path is missing")),
        first(query, "key").map(Integer::parseInt).map(OptionalInt::of).orElse(OptionalInt.empty()),
        first(query, "organisation").map(OrganisationId::of));
  }

  private static Optional<String> first(Map<String, List<String>> query, String name) {
    return query.getOrDefault(name, List.of()).stream().findFirst();
  }
}
