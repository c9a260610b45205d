import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** The platform's store as PROTOCOL.md has it: versioned rows, conditional transactions, a feed. */
final class Store implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** A stored row; the value is Base64, and empty for a deleted row. */
  private record Row(String value, long version, boolean deleted) {}

  /** The rows by table, part and key. */
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final HttpServer server;
  private long version;

  private Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/hornbeamwheel/", this::handle);
  }

  static Store start() throws IOException {
    Store store = new Store();
    store.server.start();
    return store;
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes a row with an empty part, as an operator or an upstream does. */
  void put(String table, String key, String document) {
    put(table, "", key, document);
  }

  synchronized void put(String table, String part, String key, String document) {
    byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
    rows.put(id(table, part, key), new Row(Base64.getEncoder().encodeToString(bytes), ++version, false));
    notifyAll();
  }

  /** Returns the document of a row with an empty part; empty if there is none. */
  synchronized String document(String table, String key) {
    Row row = rows.get(id(table, "", key));
    return row == null || row.deleted()
        ? ""
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private static String id(String table, String part, String key) {
    return table + "\n" + part + "\n" + key;
  }

  private static String id(JsonNode row) {
    return id(
        row.path("table_name").asText(), row.path("part").asText(), row.path("key").asText());
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      String path = exchange.getRequestURI().getPath();
      byte[] body = exchange.getRequestBody().readAllBytes();
      if (path.endsWith("/rows-tx")) {
        transact(exchange, MAPPER.readTree(body));
      } else if (path.endsWith("/rows-get")) {
        read(exchange, query(exchange));
      } else if (path.endsWith("/rows-feed")) {
        feed(exchange, query(exchange));
      } else {
        exchange.sendResponseHeaders(403, -1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
      String[] pair = part.split("=", 2);
      query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    return query;
  }

  private void transact(HttpExchange exchange, JsonNode body) throws IOException {
    ObjectNode answer;
    int status = 200;
    synchronized (this) {
      for (JsonNode condition : body.path("precondition")) {
        Row row = rows.get(id(condition));
        long known = row == null || row.deleted() ? 0 : row.version();
        if (known != condition.path("row_version").asLong()) {
          status = 412;
        }
      }
      if (status == 200) {
        version++;
        for (JsonNode write : body.path("writes")) {
          rows.put(id(write), new Row(write.path("value").asText(), version, false));
        }
        notifyAll();
      }
      answer = answer();
    }
    send(exchange, status, answer);
  }

  private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
    ObjectNode answer;
    synchronized (this) {
      answer = answer();
      ArrayNode list = answer.putArray("rows");
      String range = id(query.get("table_name"), query.getOrDefault("part", ""), "");
      String from = range + query.getOrDefault("from_key", "");
      int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
      boolean more = false;
      for (Map.Entry<String, Row> entry : rows.tailMap(from).entrySet()) {
        if (entry.getKey().startsWith(range) && !entry.getValue().deleted()) {
          more = list.size() >= limit;
          if (more) {
            break;
          }
          add(list, entry.getKey(), entry.getValue());
        }
      }
      answer.put("has_more", more);
    }
    send(exchange, 200, answer);
  }

  private void feed(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long waitMillis = Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    ObjectNode answer;
    synchronized (this) {
      while (true) {
        answer = answer();
        ArrayNode list = answer.putArray("rows");
        String table = query.get("table_name") + "\n";
        rows.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(table) && entry.getValue().version() > after)
            .sorted((a, b) -> Long.compare(a.getValue().version(), b.getValue().version()))
            .forEach(entry -> add(list, entry.getKey(), entry.getValue()));
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        if (!list.isEmpty() || leftMillis <= 0) {
          break;
        }
        wait(leftMillis);
      }
    }
    send(exchange, 200, answer);
  }

  private ObjectNode answer() {
    ObjectNode answer = MAPPER.createObjectNode();
    answer.put("row_version", version);
    answer.put("now_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    return answer;
  }

  private static void add(ArrayNode list, String id, Row row) {
    String[] names = id.split("\n", 3);
    ObjectNode node = list.addObject();
    node.put("table_name", names[0]).put("part", names[1]).put("key", names[2]);
    node.put("value", row.value()).put("row_version", row.version());
    if (row.deleted()) {
      node.put("deleted", true);
    }
  }

  private static void send(HttpExchange exchange, int status, ObjectNode answer) throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(answer);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
