package dev.hornbeamwheel.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import java.util.stream.Collectors;

/** Shows where a host would route a request now, without sending it. */
final class ExplainRoute {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int OK = 200;
  private static final Set<String> FIELDS_OF_EVERY_LINE = Set.of("at", "host", "event");

  private ExplainRoute() {}

  /**
   * Asks a host and prints its explanation; fails if the host does not respond.
   *
   * @throws InterruptedException if the thread is interrupted while it waits for the response
   */
  static CtlExitCode run(CtlCommand.ExplainRoute route, PrintStream out, PrintStream err)
      throws InterruptedException {
    HttpRequest request = HttpRequest.newBuilder(uri(route)).timeout(TIMEOUT).build();
    HttpResponse<String> response;
    try {
      response =
          HttpClient.newBuilder()
              .connectTimeout(TIMEOUT)
              .build()
              .send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      err.println("no response from " + route.address() + "; check the address: " + e);
      return CtlExitCode.FAILURE;
    }
    if (response.statusCode() != OK) {
      err.println(
          "the host responded with status "
              + response.statusCode()
              + "; check that the address is that of its metrics: "
              + response.body().strip());
      return CtlExitCode.FAILURE;
    }
    response
        .body()
        .lines()
        .map(LogLine::parse)
        .flatMap(Optional::stream)
        .forEach(line -> print(line, out));
    return CtlExitCode.OK;
  }

  private static URI uri(CtlCommand.ExplainRoute route) {
    StringJoiner query = new StringJoiner("&");
    query.add("host=" + encoded(route.host())).add("path=" + encoded(route.path()));
    route.key().ifPresent(key -> query.add("key=" + key));
    route.organisation().ifPresent(name -> query.add("organisation=" + encoded(name)));
    return URI.create("http://" + route.address() + "/explain?" + query);
  }

  private static String encoded(String value) {
    return URLEncoder.encode(value, StandardCharsets.UTF_8);
  }

  private static void print(LogLine line, PrintStream out) {
    String fields =
        line.fields().properties().stream()
            .filter(field -> !FIELDS_OF_EVERY_LINE.contains(field.getKey()))
            .map(field -> field.getKey() + " " + field.getValue().asText())
            .collect(Collectors.joining(", "));
    out.println(line.event().replaceFirst("^explain-", "") + ": " + fields);
  }
}
