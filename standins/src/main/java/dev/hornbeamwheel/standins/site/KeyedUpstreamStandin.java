package dev.hornbeamwheel.standins.site;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream that runs requests, and keyed ones only while it holds their keys. */
public final class KeyedUpstreamStandin implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;
  private static final String PREFIX = "X-Hornbeamwheel-";
  private static final HttpString ATTEMPT_ID =
      HttpString.tryFromString(PREFIX + "Request-Attempt-Id");
  private static final HttpString SIGNATURE =
      HttpString.tryFromString(PREFIX + "Response-Signature");
  private static final HttpString NOT_EXECUTED = HttpString.tryFromString(PREFIX + "Not-Executed");
  private static final HttpString LOAD = HttpString.tryFromString(PREFIX + "Server-Load");
  private static final HttpString LEAVING = HttpString.tryFromString("Server-Leaving");
  private static final HttpString HANDOVER = HttpString.tryFromString(PREFIX + "Handover");

  /** What the upstream does with a request. */
  public enum Behaviour {
    /** Answers. */
    SERVE,
    /** Runs it and closes the connection without an answer. */
    LOSE_ANSWER,
    /** Says that it did not run it. */
    SHED
  }

  private record Hold(int first, int last, long fence, long untilNanos) {
    boolean contains(int key) {
      return first <= key && key <= last && System.nanoTime() < untilNanos;
    }
  }

  private final String id;
  private final boolean keyed;
  private final Undertow server;
  private final List<Hold> holds = new CopyOnWriteArrayList<>();
  private final AtomicInteger runs = new AtomicInteger();
  private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
  private volatile Map<String, String> lastHeaders = Map.of();
  private volatile Behaviour behaviour = Behaviour.SERVE;
  private volatile boolean leaving;
  private volatile String retryAfter = "";
  private volatile int answerBytes;
  private volatile long runMillis;
  private volatile long lastGrantNanos;

  private KeyedUpstreamStandin(String id, boolean keyed) {
    this.id = id;
    this.keyed = keyed;
    this.server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1", new BlockingHandler(this::handle))
            .build();
  }

  /** Returns a running upstream on a port of its own. */
  public static KeyedUpstreamStandin start(String id, boolean keyed) {
    KeyedUpstreamStandin upstream = new KeyedUpstreamStandin(id, keyed);
    upstream.server.start();
    return upstream;
  }

  /** Returns its registration as it lies in the store. */
  public String registration(String service, String dataCentre, boolean draining) {
    String state = draining ? "draining" : "ready";
    return """
        {"address":"127.0.0.1:%d","born":1700000000000,
         "server_info":{"service":"%s","version":"v1","zone":"%s","slots":2},
         "status":{"state":"%s","sequence":4,"cold_remaining_ms":0}}"""
        .formatted(port(), service, dataCentre, state);
  }

  /** Changes what it does with requests. */
  public void behave(Behaviour next) {
    behaviour = next;
  }

  /** Changes how long its answers are at least, in bytes. */
  public void answerWith(int bytes) {
    answerBytes = bytes;
  }

  /** Changes how long a request runs, in milliseconds. */
  public void runFor(long millis) {
    runMillis = millis;
  }

  /** Says in all its answers from now on that it leaves; its registration does not change. */
  public void announceLeaving() {
    leaving = true;
  }

  /** Sets the value of the Retry-After header with which it sheds requests; empty for none. */
  public void shedWithRetryAfter(String seconds) {
    retryAfter = seconds;
  }

  /** Returns the time at which the last grant arrived, in nanoseconds; zero if none did. */
  public long lastGrantNanos() {
    return lastGrantNanos;
  }

  /** Returns the times at which requests have arrived, orders left out, in nanoseconds. */
  public List<Long> arrivalNanos() {
    return List.copyOf(arrivalNanos);
  }

  /** Returns the headers of the last request, by their names in lower case. */
  public Map<String, String> lastHeaders() {
    return lastHeaders;
  }

  /** Returns how many requests it has begun to run. */
  public int runs() {
    return runs.get();
  }

  /** Returns whether it holds a key now. */
  public boolean holds(int key) {
    return holds.stream().anyMatch(hold -> hold.contains(key));
  }

  @Override
  public void close() {
    server.stop();
  }

  private int port() {
    return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
  }

  private void handle(HttpServerExchange exchange) throws IOException {
    String path = exchange.getRequestPath();
    if (leaving) {
      exchange.getResponseHeaders().put(LEAVING, "1");
    }
    String expected = exchange.getRequestHeaders().getFirst(PREFIX + "Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      exchange.setStatusCode(MISDIRECTED);
    } else if (path.equals("/hornbeamwheel/grant")) {
      exchange.setStatusCode(grant(body(exchange)));
    } else if (path.equals("/hornbeamwheel/release")) {
      release(body(exchange));
      exchange.getResponseHeaders().put(HANDOVER, "handover-" + id);
    } else {
      serve(exchange);
    }
  }

  private void serve(HttpServerExchange exchange) throws IOException {
    arrivalNanos.add(System.nanoTime());
    lastHeaders = headers(exchange);
    String attempt = exchange.getRequestHeaders().getFirst(ATTEMPT_ID);
    if (attempt != null) {
      exchange.getResponseHeaders().put(ATTEMPT_ID, attempt);
    }
    String key = exchange.getRequestHeaders().getFirst(PREFIX + "Shard-Key");
    if (keyed && (key == null || !holds(Integer.parseInt(key)))) {
      exchange.setStatusCode(MISDIRECTED);
      exchange.getResponseHeaders().put(NOT_EXECUTED, "1");
      return;
    }
    if (behaviour == Behaviour.SHED) {
      exchange.setStatusCode(UNAVAILABLE);
      if (!retryAfter.isEmpty()) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfter);
      }
      exchange.getResponseHeaders().put(NOT_EXECUTED, "1");
      return;
    }
    runs.incrementAndGet();
    pause();
    if (behaviour == Behaviour.LOSE_ANSWER) {
      exchange.getConnection().close();
      return;
    }
    exchange.getResponseHeaders().put(SIGNATURE, "3e1b.07.5a2.600.0.c9f2a4d1");
    exchange.getResponseHeaders().put(LOAD, "1,0,2,100");
    byte[] answer = (id + " served " + exchange.getRequestPath()).getBytes(StandardCharsets.UTF_8);
    exchange.getOutputStream().write(Arrays.copyOf(answer, Math.max(answer.length, answerBytes)));
  }

  private static Map<String, String> headers(HttpServerExchange exchange) {
    Map<String, String> headers = new HashMap<>();
    exchange
        .getRequestHeaders()
        .forEach(
            header ->
                headers.put(
                    header.getHeaderName().toString().toLowerCase(Locale.ROOT),
                    String.join(",", header)));
    return headers;
  }

  private void pause() throws InterruptedIOException {
    try {
      Thread.sleep(runMillis);
    } catch (InterruptedException e) {
      throw new InterruptedIOException("the upstream is stopped");
    }
  }

  private static JsonNode body(HttpServerExchange exchange) throws IOException {
    return MAPPER.readTree(exchange.getInputStream().readAllBytes());
  }

  private int grant(JsonNode order) {
    lastGrantNanos = System.nanoTime();
    int first = order.path("from_key").asInt();
    int last = order.path("target").asInt();
    long fence = order.path("fence").asLong();
    boolean fenced =
        holds.stream()
            .filter(hold -> hold.first() <= last && first <= hold.last())
            .anyMatch(hold -> hold.fence() > fence);
    if (fenced) {
      return CONFLICT;
    }
    release(order);
    long nanos = TimeUnit.MILLISECONDS.toNanos(order.path("hold_ms").asLong());
    holds.add(new Hold(first, last, fence, System.nanoTime() + nanos));
    return OK;
  }

  private void release(JsonNode order) {
    int first = order.path("from_key").asInt();
    int last = order.path("target").asInt();
    holds.forEach(
        hold -> {
          if (hold.first() > last || first > hold.last()) {
            return;
          }
          holds.remove(hold);
          if (hold.first() < first) {
            holds.add(new Hold(hold.first(), first - 1, hold.fence(), hold.untilNanos()));
          }
          if (hold.last() > last) {
            holds.add(new Hold(last + 1, hold.last(), hold.fence(), hold.untilNanos()));
          }
        });
  }
}
