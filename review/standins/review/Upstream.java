package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/** An upstream; a keyed one runs requests only while it holds their key. */
class Upstream implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** A grant as it arrived: the keys, the fence, and the time at which its hold ends. */
  record Hold(int first, int last, long fence, long untilNanos) {
    boolean valid() {
      return System.nanoTime() < untilNanos;
    }

    boolean overlaps(int from, int to) {
      return first <= to && from <= last;
    }
  }

  /** Is told of each grant that is carried out. */
  interface GrantListener {
    void carriedOut(Upstream upstream, Hold hold, boolean late);
  }

  final String id;
  private final boolean keyed;
  private final Record record;
  private final ServerSocket server;
  private final long bornMillis = System.currentTimeMillis();
  private final List<Hold> holds = new ArrayList<>();
  private final long[] highestFence = new long[65_536];
  private Predicate<Hold> leftUnanswered = hold -> false;
  private long lateMillis;
  private boolean repeatingAnswers;
  private GrantListener grants = (upstream, hold, late) -> {};
  private volatile long runMillis = 20;

  private Upstream(String id, boolean keyed, Record record, ServerSocket server) {
    this.id = id;
    this.keyed = keyed;
    this.record = record;
    this.server = server;
  }

  static Upstream start(String id, boolean keyed, Record record) throws IOException {
    ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Upstream upstream = new Upstream(id, keyed, record, server);
    daemon(upstream::accept);
    return upstream;
  }

  int port() {
    return server.getLocalPort();
  }

  /** Returns its registration, with the port at which hosts reach it, as it lies in the store. */
  String registration(int port, String service, String zone, boolean draining) {
    return String.format(
        Locale.ROOT,
        "{\"address\":\"127.0.0.1:%d\",\"born\":%d,"
            + "\"server_info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":2},"
            + "\"status\":{\"state\":\"%s\",\"sequence\":4,\"cold_remaining_ms\":0}}",
        port,
        bornMillis,
        service,
        zone,
        draining ? "draining" : "ready");
  }

  void runFor(long millis) {
    runMillis = millis;
  }

  /** Leaves some grants unanswered, and carries them out after a time, counted from arrival. */
  synchronized void leaveUnanswered(Predicate<Hold> which, long carriedOutAfterMillis) {
    leftUnanswered = which;
    lateMillis = carriedOutAfterMillis;
  }

  /** Sends the earlier answer once more where the answer to an unanswered grant is expected. */
  synchronized void repeatAnswers() {
    repeatingAnswers = true;
  }

  void onGrant(GrantListener listener) {
    grants = listener;
  }

  /** Returns the valid hold of a key; null if the upstream does not hold it. */
  synchronized Hold hold(int key) {
    return holds.stream()
        .filter(hold -> hold.valid() && hold.overlaps(key, key))
        .findFirst()
        .orElse(null);
  }

  /** Returns the valid holds. */
  synchronized List<Hold> validHolds() {
    return holds.stream().filter(Hold::valid).toList();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http request = Http.read(in); request != null; request = Http.read(in)) {
        String answer = answer(request);
        if (answer == null) {
          // No answer, now or later: wait for the caller to give the connection up.
          while (in.read() >= 0) {}
          return;
        }
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException | InterruptedException e) {
      record.line("%s: connection ended: %s", id, e.getMessage());
    }
  }

  private String answer(Http request) throws IOException, InterruptedException {
    String expected = request.header("X-Hornbeamwheel-Expected-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      return response("421 Misdirected Request", "X-Hornbeamwheel-Instance-Id: " + id, "");
    }
    return switch (request.path()) {
      case "/hornbeamwheel/grant" -> grant(MAPPER.readTree(request.body()));
      case "/hornbeamwheel/release" -> release(MAPPER.readTree(request.body()));
      case "/health" -> response("200 OK", "X-Hornbeamwheel-Instance-Id: " + id, "");
      default -> run(request);
    };
  }

  private String run(Http request) throws InterruptedException {
    String attempt = request.header("X-Hornbeamwheel-Request-Attempt-Id");
    String echo = "X-Hornbeamwheel-Request-Attempt-Id: " + attempt;
    if (keyed && hold(Integer.parseInt(request.header("X-Hornbeamwheel-Shard-Key"))) == null) {
      return response(
          "421 Misdirected Request", echo + "\r\nX-Hornbeamwheel-Not-Executed: 1", "");
    }
    record.line("%s: runs %s, %s, %d bytes", id, attempt, request.startLine(), request.body().length);
    Thread.sleep(runMillis);
    record.line("%s: answers %s", id, attempt);
    return response(
        "200 OK",
        echo
            + "\r\nX-Hornbeamwheel-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"
            + "\r\nX-Hornbeamwheel-Server-Load: 1,0,2,100",
        id + " ran " + attempt);
  }

  private String grant(JsonNode order) {
    int first = order.path("from_key").asInt();
    int last = order.path("target").asInt();
    long fence = order.path("fence").asLong();
    long holdMillis = order.path("hold_ms").asLong();
    Hold hold = new Hold(first, last, fence, System.nanoTime() + holdMillis * 1_000_000);
    boolean unanswered;
    boolean repeating;
    synchronized (this) {
      unanswered = leftUnanswered.test(hold);
      repeating = repeatingAnswers;
    }
    record.line(
        "%s: grant of keys %d-%d, fence %d, hold %d ms%s",
        id, first, last, fence, holdMillis, unanswered ? ": not answered, carried out later" : "");
    if (unanswered) {
      daemon(
          () -> {
            sleep(lateMillis);
            record.line("%s: carries out the late grant of keys %d-%d, fence %d", id, first, last, fence);
            carryOut(hold, true);
          });
      return repeating ? response("200 OK", "Content-Type: application/json", "") : null;
    }
    return carryOut(hold, false)
        ? response("200 OK", "Content-Type: application/json", "")
        : response("409 Conflict", "Content-Type: application/json", "");
  }

  private boolean carryOut(Hold hold, boolean late) {
    synchronized (this) {
      for (int key = hold.first(); key <= hold.last(); key++) {
        if (highestFence[key] > hold.fence()) {
          record.line("%s: refuses fence %d, has seen %d", id, hold.fence(), highestFence[key]);
          return false;
        }
      }
      boolean shortens =
          late && holds.stream().anyMatch(
              held -> held.overlaps(hold.first(), hold.last())
                  && held.untilNanos() > hold.untilNanos());
      if (!hold.valid() || shortens) {
        return true;
      }
      cut(hold.first(), hold.last());
      holds.add(hold);
      java.util.Arrays.fill(highestFence, hold.first(), hold.last() + 1, hold.fence());
    }
    grants.carriedOut(this, hold, late);
    return true;
  }

  private String release(JsonNode order) {
    int first = order.path("from_key").asInt();
    int last = order.path("target").asInt();
    synchronized (this) {
      cut(first, last);
    }
    record.line("%s: releases keys %d-%d, fence %d", id, first, last, order.path("fence").asLong());
    return response("200 OK", "X-Hornbeamwheel-Handover: from-" + id, "");
  }

  private void cut(int first, int last) {
    List.copyOf(holds)
        .forEach(
            hold -> {
              if (hold.overlaps(first, last)) {
                holds.remove(hold);
                if (hold.first() < first) {
                  holds.add(new Hold(hold.first(), first - 1, hold.fence(), hold.untilNanos()));
                }
                if (hold.last() > last) {
                  holds.add(new Hold(last + 1, hold.last(), hold.fence(), hold.untilNanos()));
                }
              }
            });
  }

  private static String response(String status, String headers, String body) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "\r\nContent-Length: " + body.length()
        + "\r\n\r\n" + body;
  }

  static void daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
