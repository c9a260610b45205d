package review;

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
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store: versioned rows, conditional transactions and a feed of changes. */
final class Store implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private record RowId(String table, String key) implements Comparable<RowId> {
    @Override
    public int compareTo(RowId other) {
      int byTable = table.compareTo(other.table);
      return byTable != 0 ? byTable : key.compareTo(other.key);
    }
  }

  private record Row(String value, long version, boolean deleted) {}

  private final HttpServer server;
  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final TreeMap<RowId, Row> rows = new TreeMap<>();
  private long version;
  private boolean refusing;

  private Store(HttpServer server) {
    this.server = server;
  }

  static Store start() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Store store = new Store(HttpServer.create(any, 256));
    store.server.setExecutor(store.workers);
    store.server.createContext("/", store::handle);
    store.server.start();
    return store;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a row as the operator or an upstream would. */
  synchronized void put(String table, String key, String document) {
    String value =
        Base64.getEncoder().encodeToString(document.getBytes(StandardCharsets.UTF_8));
    rows.put(new RowId(table, key), new Row(value, ++version, false));
    notifyAll();
  }

  /** Answers all calls with 503, or serves them again. */
  synchronized void refuse(boolean refuse) {
    refusing = refuse;
    notifyAll();
  }

  /** Returns the value of a row as text; empty if there is none. */
  synchronized String text(String table, String key) {
    Row row = rows.get(new RowId(table, key));
    return row == null || row.deleted()
        ? ""
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    refuse(true);
    server.stop(0);
    workers.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    try {
      if (isRefusing()) {
        send(exchange, 503, answer());
      } else if (path.endsWith("/rows-tx")) {
        transact(exchange, MAPPER.readTree(body));
      } else if (path.endsWith("/rows-get")) {
        read(exchange, query);
      } else if (path.endsWith("/rows-feed")) {
        feed(exchange, query);
      } else {
        send(exchange, 403, answer());
      }
    } catch (InterruptedException e) {
      exchange.close();
    }
  }

  private synchronized boolean isRefusing() {
    return refusing;
  }

  private void transact(HttpExchange exchange, JsonNode body) throws IOException {
    int status = 200;
    ObjectNode answer;
    synchronized (this) {
      List<RowId> conditions = new ArrayList<>();
      for (JsonNode condition : body.path("precondition")) {
        conditions.add(id(condition));
        Row row = rows.get(id(condition));
        long known = row == null || row.deleted() ? 0 : row.version();
        status = known == condition.path("row_version").asLong() ? status : 412;
      }
      if (status == 200) {
        version++;
        for (JsonNode write : body.path("writes")) {
          rows.put(id(write), new Row(write.path("value").asText(), version, false));
        }
        for (JsonNode removed : body.path("remove")) {
          rows.computeIfPresent(id(removed), (id, row) -> new Row("", version, true));
        }
        notifyAll();
      }
      answer = answer();
      if (status == 412) {
        ArrayNode list = answer.putArray("rows");
        conditions.stream()
            .filter(rows::containsKey)
            .forEach(id -> add(list, id, rows.get(id)));
      }
    }
    send(exchange, status, answer);
  }

  private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
    String table = query.getOrDefault("table_name", "");
    String from = query.getOrDefault("from_key", "");
    int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
    ObjectNode answer;
    synchronized (this) {
      answer = answer();
      ArrayNode list = answer.putArray("rows");
      List<RowId> found =
          rows.tailMap(new RowId(table, from)).entrySet().stream()
              .filter(entry -> entry.getKey().table().equals(table))
              .filter(entry -> !entry.getValue().deleted())
              .map(Map.Entry::getKey)
              .toList();
      found.stream().limit(limit).forEach(id -> add(list, id, rows.get(id)));
      answer.put("has_more", found.size() > limit);
    }
    send(exchange, 200, answer);
  }

  private void feed(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    String table = query.getOrDefault("table_name", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    ObjectNode answer = null;
    synchronized (this) {
      while (answer == null && !refusing) {
        List<RowId> changed =
            rows.keySet().stream()
                .filter(id -> id.table().equals(table) && rows.get(id).version() > after)
                .sorted(Comparator.comparingLong(id -> rows.get(id).version()))
                .toList();
        long leftMillis = (until - System.nanoTime()) / 1_000_000;
        if (!changed.isEmpty() || leftMillis <= 0) {
          answer = answer();
          ArrayNode list = answer.putArray("rows");
          changed.forEach(id -> add(list, id, rows.get(id)));
        } else {
          wait(leftMillis);
        }
      }
    }
    send(exchange, answer == null ? 503 : 200, answer == null ? answer() : answer);
  }

  private synchronized ObjectNode answer() {
    ObjectNode answer = MAPPER.createObjectNode();
    answer.put("row_version", version);
    answer.put("now_ms", System.nanoTime() / 1_000_000);
    return answer;
  }

  private static void add(ArrayNode list, RowId id, Row row) {
    ObjectNode node = list.addObject();
    node.put("table_name", id.table()).put("part", "").put("key", id.key());
    node.put("value", row.value()).put("row_version", row.version());
    if (row.deleted()) {
      node.put("deleted", true);
    }
  }

  private static RowId id(JsonNode row) {
    return new RowId(row.path("table_name").asText(), row.path("key").asText());
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
    }
    return query;
  }

  private static void send(HttpExchange exchange, int status, ObjectNode answer)
      throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(answer);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
