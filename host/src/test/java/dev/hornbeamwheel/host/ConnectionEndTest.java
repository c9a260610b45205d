package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin;
import dev.hornbeamwheel.standins.site.SiteCaller;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that the host closes a connection only after complete responses to forwarded requests. */
final class ConnectionEndTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final long GRACE_MILLIS = 6_000;
  private static final int RESPONSE_BYTES = 7 << 19;
  private static final int ORDER_COUNT = 3;

  /** Size of all responses of a test, in bytes: more than the buffers of a socket hold. */
  private static final int TOTAL_RESPONSE_BYTES = ORDER_COUNT * RESPONSE_BYTES;

  private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
  private static final long RUN_MILLIS = 600;
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  /** Nearly the timeout of an order's route, in milliseconds. */
  private static final long LONG_RUN_MILLIS = 1_300;

  private static final long SEND_INTERVAL_MILLIS = 100;

  /** Status of a request that has not run. */
  private static final String REFUSED = "503";

  /** Time before the end of the grace period in which a request may come too late to be read. */
  private static final long UNREAD_MILLIS = 1_500;

  private static final String ORDER_HEADERS =
      "POST /order/1 HTTP/1.1\r\n" + SiteCaller.HEADER_LINES + "Content-Length: 0\r\n";

  private SiteFixture site;

  @AfterEach
  void stop() {
    site.close();
  }

  /** Guards against truncating responses because the host is shutting down. */
  @Test
  void slowlyReadResponseIsCompleteDuringShutdown() throws Exception {
    start();
    site.desk.forEach(upstream -> upstream.answerWith(RESPONSE_BYTES));
    try (Socket caller = connect()) {
      send(caller, (ORDER_HEADERS + "\r\n").repeat(ORDER_COUNT));
      InputStream input = caller.getInputStream();
      int status = input.read();

      CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> site.stopHost(0));
      Thread.sleep(GRACE_MILLIS / 2);

      assertThat(status).isPositive();
      assertThat(countRemainingBytes(input)).isGreaterThan(TOTAL_RESPONSE_BYTES);
      stopped.join();
    }
  }

  /** Guards against truncating responses when idle connections are closed. */
  @Test
  void slowlyReadResponseOutlastsIdleTimeout() throws Exception {
    start();
    site.desk.forEach(upstream -> upstream.answerWith(RESPONSE_BYTES));
    setIdleTimeout(1_000);
    try (Socket caller = connect()) {
      send(caller, (ORDER_HEADERS + "\r\n").repeat(ORDER_COUNT));
      InputStream input = caller.getInputStream();
      long read = 0;
      for (int i = 0; i < 10; i++) {
        Thread.sleep(300);
        read += input.readNBytes(TOTAL_RESPONSE_BYTES / 20).length;
      }

      assertThat(read + countRemainingBytes(input)).isGreaterThan(TOTAL_RESPONSE_BYTES);
    }
  }

  /** Guards against truncating a response whose request took longer than the idle timeout. */
  @Test
  void requestLongerThanIdleTimeoutGetsCompleteResponse() throws Exception {
    start();
    site.desk.forEach(upstream -> upstream.answerWith(RESPONSE_BYTES));
    site.desk.forEach(upstream -> upstream.runFor(2 * RUN_MILLIS));
    setIdleTimeout(800);
    try (Socket caller = connect()) {
      send(caller, (ORDER_HEADERS + "\r\n").repeat(ORDER_COUNT));
      InputStream input = caller.getInputStream();
      long read = input.readNBytes(1).length;
      Thread.sleep(RUN_MILLIS);

      assertThat(read + countRemainingBytes(input)).isGreaterThan(TOTAL_RESPONSE_BYTES);
    }
  }

  /** Guards against losing responses to a reset that is sent because of unread input. */
  @Test
  void bytesAfterLastRequestDoNotLoseItsResponse() throws Exception {
    start();
    site.desk.forEach(upstream -> upstream.answerWith(RESPONSE_BYTES));
    try (Socket caller = connect()) {
      send(
          caller,
          (ORDER_HEADERS + "\r\n").repeat(ORDER_COUNT - 1)
              + ORDER_HEADERS
              + "Connection: close\r\n\r\n");
      InputStream input = caller.getInputStream();
      long read = input.readNBytes(TOTAL_RESPONSE_BYTES - RECEIVE_BUFFER_BYTES).length;
      Thread.sleep(200);
      send(caller, ORDER_HEADERS + "\r\n");
      Thread.sleep(200);

      assertThat(read + countRemainingBytes(input)).isGreaterThan(TOTAL_RESPONSE_BYTES);
    }
  }

  /** Guards against aborting requests at shutdown because their connection is never idle. */
  @Test
  void busyConnectionGetsAllResponsesDuringShutdown() throws Exception {
    start();
    site.desk.forEach(upstream -> upstream.runFor(RUN_MILLIS));
    int before = runs();
    try (Socket caller = connect()) {
      CompletableFuture<Void> sender = sendContinuously(caller);
      assertThat(readResponse(caller.getInputStream())).isTrue();
      long stoppingSince = System.nanoTime();
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> site.stopHost(0));

      int responses = 1;
      while (readResponse(caller.getInputStream())) {
        responses++;
      }
      long tookMillis = (System.nanoTime() - stoppingSince) / 1_000_000;

      assertThat(tookMillis).isLessThan(GRACE_MILLIS - RUN_MILLIS);
      assertThat(responses).isEqualTo(runs() - before);
      stopped.join();
      sender.join();
    }
  }

  /**
   * Guards against requests that come late in the grace period, reach an upstream and are cut
   * without an answer when the process ends.
   */
  @Test
  void requestsLateInTheGracePeriodAreAnsweredOrNeverForwarded() throws Exception {
    start();
    site.desk.forEach(upstream -> upstream.runFor(LONG_RUN_MILLIS));
    int before = runs();
    CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> site.stopHost(0));
    ExecutorService callers = Executors.newCachedThreadPool();
    try {
      List<Future<Optional<String>>> statuses = new ArrayList<>();
      for (long sentMillis = 0; sentMillis < GRACE_MILLIS; sentMillis += SEND_INTERVAL_MILLIS) {
        statuses.add(callers.submit(this::orderOnNewConnection));
        Thread.sleep(SEND_INTERVAL_MILLIS);
      }
      stopped.join();
      List<Optional<String>> ended = new ArrayList<>();
      for (Future<Optional<String>> status : statuses) {
        ended.add(status.get());
      }

      int surelyRead = (int) ((GRACE_MILLIS - UNREAD_MILLIS) / SEND_INTERVAL_MILLIS);
      assertThat(ended.subList(0, surelyRead)).allMatch(Optional::isPresent);
      // A request that waited for its slot may reach its deadline, which is answered with 504.
      assertThat(ended.stream().flatMap(Optional::stream).filter(s -> !s.equals(REFUSED)).count())
          .isEqualTo(runs() - before);
    } finally {
      callers.shutdownNow();
    }
  }

  /** Sends an order; returns the status of its response, or empty if there is none. */
  private Optional<String> orderOnNewConnection() {
    try (Socket caller = connect()) {
      send(caller, ORDER_HEADERS + "\r\n");
      String status = new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
      return status.length() == 12 ? Optional.of(status.substring(9)) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private void start() throws Exception {
    site = new SiteFixture(1, GRACE_MILLIS);
    assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
  }

  private void setIdleTimeout(int millis) throws InterruptedException {
    site.store.put(
        "op",
        "config",
        SiteCaller.CONFIGURATION
            .replace("r7", "r8")
            .replace("\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":" + millis));
    Thread.sleep(1_000);
  }

  private Socket connect() throws IOException {
    Socket caller = new Socket();
    caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    caller.setSoTimeout(READ_TIMEOUT_MILLIS);
    caller.connect(
        new InetSocketAddress(
            InetAddress.getLoopbackAddress(), site.settings(0).callerAddress().port()));
    return caller;
  }

  private int runs() {
    return site.desk.stream().mapToInt(KeyedUpstreamStandin::runs).sum();
  }

  private static void send(Socket caller, String request) throws IOException {
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  /** Sends requests faster than they are answered, until the connection is closed. */
  private static CompletableFuture<Void> sendContinuously(Socket caller) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            while (true) {
              send(caller, ORDER_HEADERS + "\r\n");
              Thread.sleep(RUN_MILLIS / 3);
            }
          } catch (IOException | InterruptedException e) {
            // The host has closed the connection.
          }
        });
  }

  /** Reads one response; returns false if the connection ends before the response is complete. */
  private static boolean readResponse(InputStream input) {
    StringBuilder head = new StringBuilder();
    try {
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = input.read();
        if (next < 0) {
          return false;
        }
        head.append((char) next);
      }
      int length =
          head.toString()
              .lines()
              .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
              .mapToInt(line -> Integer.parseInt(line.substring(15).trim()))
              .findFirst()
              .orElse(0);
      return input.readNBytes(length).length == length;
    } catch (IOException e) {
      return false;
    }
  }

  private static long countRemainingBytes(InputStream input) throws IOException {
    long bytes = 0;
    byte[] buffer = new byte[64 << 10];
    try {
      for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
        bytes += read;
      }
    } catch (SocketTimeoutException e) {
      // The connection stays open after a complete response.
    }
    return bytes;
  }
}
