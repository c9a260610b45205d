package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.standins.site.SiteCaller;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests that requests with ambiguous framing, or that never end, are rejected and never run. */
final class MalformedRequestTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final int READ_TIMEOUT_MILLIS = 8_000;
  private static final String SECOND_REQUEST =
      "POST /order/9 HTTP/1.1\r\n" + SiteCaller.HEADER_LINES + "Content-Length: 0\r\n\r\n";

  private static SiteFixture site;

  @BeforeAll
  static void start() throws Exception {
    site = new SiteFixture(1);
    assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
  }

  @AfterAll
  static void stop() {
    site.close();
  }

  /** Asserts that a request gets exactly one response, of the given status, and does not run. */
  private static void assertRejected(String request, String status) throws IOException {
    int before = site.orderRuns();

    String response = send(request);

    assertThat(response).startsWith("HTTP/1.1 " + status);
    assertThat(response.split("HTTP/1.1 ", -1)).as("one response").hasSize(2);
    assertThat(site.orderRuns()).isEqualTo(before);
  }

  /** Sends a raw request and returns everything received until the host closes the connection. */
  private static String send(String request) throws IOException {
    Address host = site.settings(0).callerAddress();
    try (Socket socket = new Socket(host.host(), host.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static String order(String headers, String body) {
    return "POST /order/1 HTTP/1.1\r\n" + SiteCaller.HEADER_LINES + headers + "\r\n" + body;
  }

  @Test
  void rejectsTwoContentLengths() throws IOException {
    assertRejected(
        order("Content-Length: 3\r\nContent-Length: 4\r\n", "abc" + SECOND_REQUEST), "400");
  }

  @Test
  void rejectsContentLengthWithChunkedEncoding() throws IOException {
    assertRejected(
        order("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + SECOND_REQUEST),
        "400");
  }

  @Test
  void rejectsChunkedThatIsNotTheFinalEncoding() throws IOException {
    assertRejected(
        order("Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n" + SECOND_REQUEST), "400");
  }

  @Test
  void rejectsBareLineFeed() throws IOException {
    assertRejected(order("X-Note: a\nContent-Length: 0\r\n", SECOND_REQUEST), "400");
  }

  @Test
  void rejectsSpaceBeforeColon() throws IOException {
    assertRejected(order("Content-Length : 3\r\n", "abc" + SECOND_REQUEST), "400");
  }

  @Test
  void rejectsOversizedHeaders() throws IOException {
    assertRejected(order("X-Note: " + "a".repeat(20_000) + "\r\n", ""), "431");
  }

  @Test
  void rejectsOversizedBody() throws IOException {
    assertRejected(order("Content-Length: 99999999\r\n", ""), "413");
  }

  @Test
  void oversizedBodyClosesConnectionAfterEarlierResponse() throws IOException {
    String responses = send(SECOND_REQUEST + order("Content-Length: 99999999\r\n", ""));

    assertThat(responses).startsWith("HTTP/1.1 200");
    assertThat(responses.split("HTTP/1.1 ", -1)).as("one response").hasSize(2);
  }

  @Test
  void rejectsSlowHeaders() throws IOException {
    assertRejected("POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n", "408");
  }
}
