import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** An upstream without keys: it runs {@code slots} requests at once and queues a few more. */
final class Upstream implements AutoCloseable {
  private static final String PREFIX = "X-Hornbeamwheel-";

  private final String id;
  private final String service;
  private final int slots;
  private final int queue;
  private final long workMillis;
  private final int answerBytes;
  private final long bornMillis = System.currentTimeMillis();
  private final ServerSocket server;
  private final Semaphore free;
  private final Semaphore places;
  private final CaseRecord record;

  /** Ids of the requests that it has begun to run. */
  final Set<String> ran = ConcurrentHashMap.newKeySet();

  /** Time until which it asks each caller for no requests, in nanoseconds; zero if it does not. */
  private volatile long closedUntilNanos;

  Upstream(
      CaseRecord record, String id, String service, int slots, int queue, long workMillis, int answerBytes)
      throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.queue = queue;
    this.workMillis = workMillis;
    this.answerBytes = answerBytes;
    this.free = new Semaphore(slots, true);
    this.places = new Semaphore(slots + queue, true);
    this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    Threads.start("upstream " + id, this::accept);
  }

  /** Returns its registration as it lies in the store. */
  String registration(String dataCentre) {
    return """
        {"address":"127.0.0.1:%d","born":%d,
         "server_info":{"service":"%s","version":"v1","zone":"%s","slots":%d},
         "status":{"state":"ready","sequence":4,"cold_remaining_ms":0}}"""
        .formatted(server.getLocalPort(), bornMillis, service, dataCentre, slots);
  }

  /** Turns requests away with 503 and Retry-After for a time. */
  void turnAwayFor(long millis) {
    closedUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Threads.start("upstream " + id, () -> serve(socket));
      } catch (IOException e) {
        // The upstream was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        answer(request, socket.getOutputStream());
      }
    } catch (IOException e) {
      // The caller has gone.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void answer(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String attempt = request.header(PREFIX + "Request-Attempt-Id");
    String expected = request.header(PREFIX + "Expected-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      send(out, "421 Misdirected Request", attempt, PREFIX + "Not-Executed: 1\r\n", 0);
      return;
    }
    long closedNanos = closedUntilNanos - System.nanoTime();
    if (closedUntilNanos != 0 && closedNanos > 0) {
      String seconds = String.format(java.util.Locale.ROOT, "%.2f", closedNanos / 1e9);
      String headers = PREFIX + "Not-Executed: 1\r\nRetry-After: " + seconds + "\r\n";
      record.line("turned-away " + attempt + " at " + id + " retry-after " + seconds);
      send(out, "503 Service Unavailable", attempt, headers, 0);
      return;
    }
    if (!places.tryAcquire()) {
      send(out, "503 Service Unavailable", attempt, PREFIX + "Not-Executed: 1\r\n", 0);
      return;
    }
    try {
      free.acquire();
      try {
        ran.add(attempt);
        Thread.sleep(workMillis);
      } finally {
        free.release();
      }
    } finally {
      places.release();
    }
    String headers =
        PREFIX + "Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            + PREFIX + "Server-Load: 1,0," + slots + ",100\r\n";
    send(out, "200 OK", attempt, headers, answerBytes);
  }

  private void send(OutputStream out, String status, String attempt, String headers, int bytes)
      throws IOException {
    String head =
        "HTTP/1.1 " + status + "\r\n"
            + PREFIX + "Request-Attempt-Id: " + attempt + "\r\n"
            + headers
            + "Content-Length: " + bytes + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] message = Arrays.copyOf(headBytes, headBytes.length + bytes);
    Arrays.fill(message, headBytes.length, message.length, (byte) 'x');
    out.write(message);
    out.flush();
  }
}
