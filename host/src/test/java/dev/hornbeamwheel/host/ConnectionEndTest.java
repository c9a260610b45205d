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
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections that the host ends: every request that reached an upstream is answered whole. */
final class ConnectionEndTest {
  private static final Duration START = Duration.ofSeconds(20);
  private static final long GRACE_MILLIS = 6_000;
  private static final int RESPONSE_BYTES = 7 << 19;
  private static final int ORDER_COUNT = 3;

  /** All answers of a test together: more than the buffers of a socket take. */
  private static final int TOTAL_RESPONSE_BYTES = ORDER_COUNT * RESPONSE_BYTES;

  private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
  private static final long RUN_MILLIS = 600;
  private static final int READ_TIMEOUT_MILLIS = 5_000;
  private static final String ORDER_HEADERS =
      "POST /order/1 HTTP/1.1\r\n" + SiteCaller.HEADER_LINES + "Content-Length: 0\r\n";

  private SiteFixture site;

  @AfterEach
  void stop() {
    site.close();
  }

  /** Guards against answers that were cut off because their host was stopping. */
  @Test
  void slowlyReadResponseIsCompleteDuringShutdown() throws Exception {
    start();
    site.pooledUpstreams.forEach(upstream -> upstream.answerWith(RESPONSE_BYTES));
    try (Socket caller = connect()) {
      send(caller, (ORDER_HEADERS + "\r\n").repeat(ORDER_COUNT));
      InputStream answer = caller.getInputStream();
      int status = answer.read();

      CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> site.stopHost(0));
      Thread.sleep(GRACE_MILLIS / 2);

      assertThat(status).isPositive();
      assertThat(countRemainingBytes(answer)).isGreaterThan(TOTAL_RESPONSE_BYTES);
      stopped.join();
    }
  }

  /** Guards against answers that were cut off by the sweep of idle connections. */
  @Test
  void slowlyReadResponseOutlastsIdleTimeout() throws Exception {
    start();
    site.pooledUpstreams.forEach(upstream -> upstream.answerWith(RESPONSE_BYTES));
    setIdleTimeout(1_000);
    try (Socket caller = connect()) {
      send(caller, (ORDER_HEADERS + "\r\n").repeat(ORDER_COUNT));
      InputStream answer = caller.getInputStream();
      long read = 0;
      for (int i = 0; i < 10; i++) {
        Thread.sleep(300);
        read += answer.readNBytes(TOTAL_RESPONSE_BYTES / 20).length;
      }

      assertThat(read + countRemainingBytes(answer)).isGreaterThan(TOTAL_RESPONSE_BYTES);
    }
  }

  /** Guards against answers that were cut off since their request outlasted the idle limit. */
  @Test
  void requestLongerThanIdleTimeoutGetsCompleteResponse() throws Exception {
    start();
    site.pooledUpstreams.forEach(upstream -> upstream.answerWith(RESPONSE_BYTES));
    site.pooledUpstreams.forEach(upstream -> upstream.runFor(2 * RUN_MILLIS));
    setIdleTimeout(800);
    try (Socket caller = connect()) {
      send(caller, (ORDER_HEADERS + "\r\n").repeat(ORDER_COUNT));
      InputStream answer = caller.getInputStream();
      long read = answer.readNBytes(1).length;
      Thread.sleep(RUN_MILLIS);

      assertThat(read + countRemainingBytes(answer)).isGreaterThan(TOTAL_RESPONSE_BYTES);
    }
  }

  /** Guards against answers that were lost to a reset since the caller had sent more. */
  @Test
  void bytesAfterLastRequestDoNotLoseItsResponse() throws Exception {
    start();
    site.pooledUpstreams.forEach(upstream -> upstream.answerWith(RESPONSE_BYTES));
    try (Socket caller = connect()) {
      send(
          caller,
          (ORDER_HEADERS + "\r\n").repeat(ORDER_COUNT - 1)
              + ORDER_HEADERS
              + "Connection: close\r\n\r\n");
      InputStream answer = caller.getInputStream();
      long read = answer.readNBytes(TOTAL_RESPONSE_BYTES - RECEIVE_BUFFER_BYTES).length;
      Thread.sleep(200);
      send(caller, ORDER_HEADERS + "\r\n");
      Thread.sleep(200);

      assertThat(read + countRemainingBytes(answer)).isGreaterThan(TOTAL_RESPONSE_BYTES);
    }
  }

  /** Guards against requests that were cut at an upstream since their connection was never idle. */
  @Test
  void busyConnectionGetsAllResponsesDuringShutdown() throws Exception {
    start();
    site.pooledUpstreams.forEach(upstream -> upstream.runFor(RUN_MILLIS));
    int before = runs();
    try (Socket caller = connect()) {
      CompletableFuture<Void> sender = sendContinuously(caller);
      assertThat(readResponse(caller.getInputStream())).isTrue();
      long stoppingSince = System.nanoTime();
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> site.stopHost(0));

      int answers = 1;
      while (readResponse(caller.getInputStream())) {
        answers++;
      }
      long tookMillis = (System.nanoTime() - stoppingSince) / 1_000_000;

      assertThat(tookMillis).isLessThan(GRACE_MILLIS - RUN_MILLIS);
      assertThat(answers).isEqualTo(runs() - before);
      stopped.join();
      sender.join();
    }
  }

  private void start() throws Exception {
    site = new SiteFixture(1, GRACE_MILLIS);
    assertThat(site.awaitServing(0, START)).isTrue();
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
    return site.pooledUpstreams.stream().mapToInt(KeyedUpstreamStandin::runs).sum();
  }

  private static void send(Socket caller, String request) throws IOException {
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  /** Sends requests more often than they are answered, until the connection ends. */
  private static CompletableFuture<Void> sendContinuously(Socket caller) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            while (true) {
              send(caller, ORDER_HEADERS + "\r\n");
              Thread.sleep(RUN_MILLIS / 3);
            }
          } catch (IOException | InterruptedException e) {
            // The host has ended the connection.
          }
        });
  }

  /** Reads one answer; returns false if the connection ends in place of it. */
  private static boolean readResponse(InputStream answers) {
    StringBuilder head = new StringBuilder();
    try {
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = answers.read();
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
      return answers.readNBytes(length).length == length;
    } catch (IOException e) {
      return false;
    }
  }

  private static long countRemainingBytes(InputStream answer) throws IOException {
    long bytes = 0;
    byte[] buffer = new byte[64 << 10];
    try {
      for (int read = answer.read(buffer); read >= 0; read = answer.read(buffer)) {
        bytes += read;
      }
    } catch (SocketTimeoutException e) {
      // The connection stays open behind a whole answer.
    }
    return bytes;
  }
}
