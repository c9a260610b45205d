package dev.hornbeamwheel.standins.site;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;

/** A caller of the users' machines, and the operators' configuration for its requests. */
public final class SiteCaller {
  /** The configuration: idempotent keyed lookups at one service, orders at another. */
  public static final String CONFIGURATION =
      """
      {"version":"r7","routes":[
        {"name":"lookup","host":"127.0.0.1","prefix":"/lookup/","kind":"safe","timeout_ms":1200,
         "target_latency_ms":600,"priority":2,"service":"ledger","max_attempts":2},
        {"name":"order","host":"127.0.0.1","prefix":"/order/","kind":"unsafe","timeout_ms":1500,
         "target_latency_ms":800,"priority":1,"service":"desk","max_attempts":2}],
       "services":[
        {"name":"ledger","health_check_path":"/health","connection_limit":295,"protocol":"h1",
         "cold_start_s":3.0,"cold_per_s":2.6,"sharded":true,"warm_up_s":3.0,"grants":"call"},
        {"name":"desk","health_check_path":"/health","connection_limit":295,"protocol":"h1",
         "cold_start_s":3.0,"cold_per_s":2.6}],
       "limits":{"header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}""";

  /** Header lines of a request as they go over the connection; the blank line is missing. */
  public static final String HEADER_LINES =
      """
      Host: 127.0.0.1\r
      X-Hornbeamwheel-Request-Attempt-Id: 9c41d07be2a35f68\r
      X-Hornbeamwheel-Deadline-Milliseconds: 2500\r
      """;

  private static final String KEYED_HEADER_LINES =
      """
      Host: 127.0.0.1\r
      X-Hornbeamwheel-Request-Attempt-Id: %016x\r
      X-Hornbeamwheel-Deadline-Milliseconds: %d\r
      X-Hornbeamwheel-Shard-Key: %d\r
      """;

  private static final Duration DEADLINE = Duration.ofMillis(2_500);

  private final HttpClient http = HttpClient.newHttpClient();
  private final Duration deadline;

  private SiteCaller(Duration deadline) {
    this.deadline = deadline;
  }

  /**
   * Returns the header lines of a request with a key; the blank line is missing.
   *
   * @param attemptId id of the caller's attempt
   */
  public static String keyedHeaderLines(long attemptId, long deadlineMillis, int key) {
    return KEYED_HEADER_LINES.formatted(attemptId, deadlineMillis, key);
  }

  /** Returns a caller that keeps its connections. */
  public static SiteCaller create() {
    return create(DEADLINE);
  }

  /** Returns a caller that keeps its connections and waits for a given time for each response. */
  public static SiteCaller create(Duration deadline) {
    return new SiteCaller(deadline);
  }

  /** Returns the configuration with another time limit for all requests. */
  public static String configuration(Duration timeout) {
    return CONFIGURATION.replaceAll("\"timeout_ms\":\\d+", "\"timeout_ms\":" + timeout.toMillis());
  }

  /** Asks for a key at an address, {@code HOST:PORT}. */
  public HttpResponse<String> lookup(String address, int key)
      throws IOException, InterruptedException {
    return get(address, "/lookup/" + key, key);
  }

  /** Places an order that may run once only. */
  public HttpResponse<String> order(String address) throws IOException, InterruptedException {
    return send(
        request(address, "/order/1").POST(HttpRequest.BodyPublishers.ofString("two roll bars")));
  }

  /** Places an order with the API key of an organisation, and a name that is not its own. */
  public HttpResponse<String> order(String address, String apiKey)
      throws IOException, InterruptedException {
    return send(
        request(address, "/order/1")
            .header("Authorization", "Bearer " + apiKey)
            .header("X-Hornbeamwheel-Tenant", "another")
            .POST(HttpRequest.BodyPublishers.ofString("two roll bars")));
  }

  /** Asks for any path. */
  public HttpResponse<String> get(String address, String path)
      throws IOException, InterruptedException {
    return send(request(address, path).GET());
  }

  /** Asks for any path, with a key. */
  public HttpResponse<String> get(String address, String path, int key)
      throws IOException, InterruptedException {
    return send(
        request(address, path).header("X-Hornbeamwheel-Shard-Key", Integer.toString(key)).GET());
  }

  private HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .header("X-Hornbeamwheel-Request-Attempt-Id", UUID.randomUUID().toString())
        .header("X-Hornbeamwheel-Deadline-Milliseconds", Long.toString(deadline.toMillis()));
  }

  private HttpResponse<String> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
