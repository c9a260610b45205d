package dev.hornbeamwheel.standins.site;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The platform's store: versioned rows, conditional transactions and a feed of changes.
 *
 * <p>Faults may be ordered: all calls refused, writes done without an answer, history forgotten,
 * and the state of an earlier snapshot restored, after which versions are issued again.
 */
public final class StoreStandin implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int WORKERS = 64;
  private static final int OK = 200;
  private static final int FORBIDDEN = 403;
  private static final int GONE = 410;
  private static final int CONFLICT = 412;
  private static final int UNAVAILABLE = 503;

  private record RowId(String table, String key) implements Comparable<RowId> {
    @Override
    public int compareTo(RowId other) {
      int byTable = table.compareTo(other.table);
      return byTable != 0 ? byTable : key.compareTo(other.key);
    }
  }

  private record Row(String value, long version, boolean deleted) {}

  /** A state of the store that it can be restored to. */
  public static final class Snapshot {
    private final Map<RowId, Row> rows;
    private final long version;

    private Snapshot(Map<RowId, Row> rows, long version) {
      this.rows = new TreeMap<>(rows);
      this.version = version;
    }
  }

  private static final HttpString ERA_HEADER = new HttpString("Store-Era");

  private final Undertow server;
  private final TreeMap<RowId, Row> rows = new TreeMap<>();
  private long version;
  private long forgottenUpTo;
  private long era;
  private int calls;
  private boolean refusing;
  private boolean losingAnswers;

  private StoreStandin(int port, int workers) {
    this.server =
        Undertow.builder()
            .setWorkerThreads(workers)
            .addHttpListener(port, "127.0.0.1", new BlockingHandler(this::handle))
            .build();
  }

  /** Returns a running store on a port of the loopback address; zero for any. */
  public static StoreStandin start(int port) {
    return start(port, WORKERS);
  }

  /**
   * Returns a running store that handles a number of calls at a time; a long poll counts while it
   * waits.
   */
  public static StoreStandin start(int port, int workers) {
    StoreStandin store = new StoreStandin(port, workers);
    store.server.start();
    return store;
  }

  /** Returns the port that it listens on. */
  public int port() {
    return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
  }

  /** Writes a row as the operator or an upstream would. */
  public synchronized void put(String table, String key, String document) {
    byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
    rows.put(
        new RowId(table, key),
        new Row(Base64.getEncoder().encodeToString(bytes), ++version, false));
    notifyAll();
  }

  /** Removes a row as the operator or a lapse would. */
  public synchronized void remove(String table, String key) {
    rows.computeIfPresent(new RowId(table, key), (id, row) -> new Row("", ++version, true));
    notifyAll();
  }

  /** Returns the document of a row; empty if there is none. */
  public synchronized Optional<String> document(String table, String key) {
    return Optional.ofNullable(rows.get(new RowId(table, key)))
        .filter(row -> !row.deleted())
        .map(row -> new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8));
  }

  /** Refuses all calls, or serves them again. */
  public synchronized void refuse(boolean refuse) {
    refusing = refuse;
    notifyAll();
  }

  /** Carries out writes without answering them, or answers them again. */
  public synchronized void loseAnswers(boolean lose) {
    losingAnswers = lose;
  }

  /** Forgets the history: watches have to read the rows again. */
  public synchronized void forgetHistory() {
    forgottenUpTo = ++version;
    notifyAll();
  }

  /** Returns the present state. */
  public synchronized Snapshot snapshot() {
    return new Snapshot(rows, version);
  }

  /** Restores an earlier state, in a new era. */
  public synchronized void restore(Snapshot snapshot) {
    rows.clear();
    rows.putAll(snapshot.rows);
    version = snapshot.version;
    forgottenUpTo = Math.min(forgottenUpTo, version);
    era++;
    notifyAll();
  }

  /** Returns the number of calls so far. */
  public synchronized int calls() {
    return calls;
  }

  @Override
  public void close() {
    // Watches that wait would hold up the end for as long as they may wait.
    refuse(true);
    server.stop();
  }

  private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
    String path = exchange.getRequestPath();
    callArrived();
    if (isRefusing()) {
      exchange.setStatusCode(UNAVAILABLE);
    } else if (path.endsWith("/rows-tx")) {
      JsonNode body = MAPPER.readTree(exchange.getInputStream().readAllBytes());
      Answer answer = transact(body);
      if (losing()) {
        exchange.getConnection().close();
      } else {
        send(exchange, answer);
      }
    } else if (path.endsWith("/rows-get")) {
      send(exchange, read(exchange));
    } else if (path.endsWith("/rows-feed")) {
      send(exchange, feed(exchange));
    } else {
      exchange.setStatusCode(FORBIDDEN);
    }
  }

  /**
   * An answer.
   *
   * @param era the era in which the call was carried out
   */
  private record Answer(int status, ObjectNode body, long era) {}

  private synchronized void callArrived() {
    calls++;
  }

  private synchronized boolean isRefusing() {
    return refusing;
  }

  private synchronized boolean losing() {
    return losingAnswers;
  }

  private synchronized Answer transact(JsonNode body) {
    for (JsonNode condition : body.path("precondition")) {
      Row row = rows.get(id(condition));
      long known = row == null || row.deleted() ? 0 : row.version();
      if (known != condition.path("row_version").asLong()) {
        return new Answer(CONFLICT, answer(), era);
      }
    }
    version++;
    body.path("writes")
        .forEach(
            write -> rows.put(id(write), new Row(write.path("value").asText(), version, false)));
    notifyAll();
    return new Answer(OK, answer(), era);
  }

  private synchronized Answer read(HttpServerExchange exchange) {
    String table = parameter(exchange, "table_name", "");
    String from = parameter(exchange, "from_key", "");
    int limit = Integer.parseInt(parameter(exchange, "limit", "500"));
    ObjectNode answer = answer();
    ArrayNode list = answer.putArray("rows");
    rows.tailMap(new RowId(table, from)).entrySet().stream()
        .filter(entry -> entry.getKey().table().equals(table) && !entry.getValue().deleted())
        .limit(limit)
        .forEach(entry -> add(list, entry.getKey(), entry.getValue()));
    answer.put("has_more", false);
    return new Answer(OK, answer, era);
  }

  private synchronized Answer feed(HttpServerExchange exchange) throws InterruptedException {
    String table = parameter(exchange, "table_name", "");
    long after = Long.parseLong(parameter(exchange, "after", "0"));
    long until =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(parameter(exchange, "wait_ms", "0")));
    while (true) {
      if (refusing) {
        return new Answer(UNAVAILABLE, answer(), era);
      }
      if (after < forgottenUpTo || after > version) {
        return new Answer(GONE, answer(), era);
      }
      ObjectNode answer = answer();
      ArrayNode list = answer.putArray("rows");
      changed(table, after).forEach(id -> add(list, id, rows.get(id)));
      long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
      if (!list.isEmpty() || left <= 0) {
        return new Answer(OK, answer, era);
      }
      wait(left);
    }
  }

  private List<RowId> changed(String table, long after) {
    List<RowId> changed = new ArrayList<>();
    rows.forEach(
        (id, row) -> {
          if (id.table().equals(table) && row.version() > after) {
            changed.add(id);
          }
        });
    return changed;
  }

  private ObjectNode answer() {
    ObjectNode answer = MAPPER.createObjectNode();
    answer.put("row_version", version);
    answer.put("now_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
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

  private static String parameter(HttpServerExchange exchange, String name, String absent) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null || values.isEmpty() ? absent : values.getFirst();
  }

  private static void send(HttpServerExchange exchange, Answer answer) throws IOException {
    exchange.setStatusCode(answer.status());
    if (answer.era() > 0) {
      exchange.getResponseHeaders().put(ERA_HEADER, answer.era());
    }
    exchange.getOutputStream().write(MAPPER.writeValueAsBytes(answer.body()));
  }
}
