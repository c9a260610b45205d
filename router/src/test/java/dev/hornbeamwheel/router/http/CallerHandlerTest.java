package dev.hornbeamwheel.router.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.ServiceKind;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.routing.Outcome;
import dev.hornbeamwheel.core.routing.ProblemKind;
import dev.hornbeamwheel.router.upstream.AnswerHead;
import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import okhttp3.Headers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CallerHandlerTest {
  private static final String TOKEN = "example-token";
  private static final int MAX_BODY_BYTES = 1_000;

  private final OkHttpClient client = new OkHttpClient();
  private volatile Consumer<CallerExchange> accepted = caller -> answer(caller, "fine", 4);
  private volatile boolean stopping;
  private Undertow server;
  private String base;

  @BeforeEach
  void start() {
    ContractDirectory directory = ContractDirectory.of(new Configuration(1, declarations()));
    CallerHandler handler =
        CallerHandler.create(
            () -> RequestId.of("drawn-1"),
            () -> directory,
            () -> stopping,
            MAX_BODY_BYTES,
            caller -> accepted.accept(caller));
    server = Undertow.builder().addHttpListener(0, "127.0.0.1").setHandler(handler).build();
    server.start();
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    base = "http://127.0.0.1:" + port;
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  @Test
  void passesTheWholeAnswerOnWithTheOutcome() throws IOException {
    try (Response response = client.newCall(lookup().build()).execute()) {
      assertThat(response.code()).isEqualTo(200);
      assertThat(response.header("Hbw-Outcome")).isEqualTo("completed");
      assertThat(response.header("Hbw-Request-Id")).isEqualTo("drawn-1");
      assertThat(response.body().string()).isEqualTo("fine");
    }
  }

  @ParameterizedTest
  @CsvSource({
    "Authorization,Bearer wrong,401,unknown-contract",
    "Authorization,Basic abc,401,unknown-contract",
    "Hbw-Key,' ',400,missing-key",
    "Hbw-Deadline-Millis,soon,400,bad-deadline",
    "Hbw-Deadline-Millis,0,400,bad-deadline",
    "Hbw-Deadline-Millis,999999999999999999999,400,bad-deadline",
    "Idempotency-Key,two words,400,bad-idempotency-key",
    "Hbw-Request-Id,a/b,400,bad-request-id",
  })
  void refusesABadHeaderAsNotRun(String name, String value, int status, String title)
      throws IOException {
    assertRefused(lookup().header(name, value).build(), status, title);
  }

  @Test
  void refusesAMissingKeyOfAKeyedService() throws IOException {
    assertRefused(lookup().removeHeader("Hbw-Key").build(), 400, "missing-key");
  }

  @Test
  void refusesAnOverLongKey() throws IOException {
    assertRefused(lookup().header("Hbw-Key", "k".repeat(201)).build(), 400, "key-too-long");
  }

  @Test
  void refusesOversizedHeaders() throws IOException {
    Request request = lookup().header("X-Large", "x".repeat(17_000)).build();
    assertRefused(request, 431, "headers-too-large");
  }

  @Test
  void refusesAnUnknownService() throws IOException {
    assertRefused(lookup().url(base + "/elsewhere/x").build(), 404, "unknown-service");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/.well-known/hornbeamwheel/orders",
        "/a/%2e%2Ewell-known/%2ewell-known/hornbeamwheel/orders",
        "/%252ewell-known/HORNBEAMWHEEL/orders",
      })
  void refusesPathsThatLeadToTheControlOfUpstreams(String path) throws IOException {
    assertRefused(lookup().url(base + "/stock-ledger" + path).build(), 404, "reserved-path");
  }

  @Test
  void refusesAServiceThatTheContractLacks() throws IOException {
    Request request = lookup().url(base + "/order-desk/x").build();
    assertRefused(request, 403, "service-not-in-contract");
  }

  @Test
  void refusesAPostWithoutIdempotencyKey() throws IOException {
    Request request = lookup().post(RequestBody.create(new byte[10], null)).build();
    assertRefused(request, 400, "missing-idempotency-key");
  }

  @Test
  void refusesAnOversizedBody() throws IOException {
    Request request =
        lookup()
            .header("Idempotency-Key", "order-1")
            .post(RequestBody.create(new byte[MAX_BODY_BYTES + 1], null))
            .build();
    assertRefused(request, 413, "body-too-large");
  }

  @Test
  void refusesNewWorkWhileStopping() throws IOException {
    stopping = true;
    assertRefused(lookup().build(), 503, "stopping");
  }

  @Test
  void tellsTheCallerWhenToRetry() throws IOException {
    accepted = caller -> caller.fail(ProblemKind.NO_CAPACITY, Outcome.NOT_RUN, 1_200);
    try (Response response = client.newCall(lookup().build()).execute()) {
      assertThat(response.code()).isEqualTo(503);
      assertThat(response.header("Retry-After")).isEqualTo("2");
    }
  }

  @Test
  void breaksTheConnectionRatherThanEndALongAnswerShort() {
    accepted =
        caller -> {
          Thread writer =
              new Thread(
                  () -> {
                    answerPart(caller, 200_000, 100_000);
                    caller.fail(ProblemKind.ANSWER_CUT, Outcome.UNKNOWN, 0);
                  });
          writer.start();
        };
    assertThat(readFails(lookup().build())).isTrue();
  }

  private boolean readFails(Request request) {
    try (Response response = client.newCall(request).execute()) {
      response.body().bytes();
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private void assertRefused(Request request, int status, String title) throws IOException {
    try (Response response = client.newCall(request).execute()) {
      assertThat(response.code()).isEqualTo(status);
      assertThat(response.header("Hbw-Outcome")).isEqualTo("not-run");
      assertThat(response.header("Content-Type")).isEqualTo("application/problem+json");
      assertThat(response.body().string())
          .contains("\"title\":\"" + title + "\"", "\"outcome\":\"not-run\"")
          .doesNotContain("Exception");
    }
  }

  private Request.Builder lookup() {
    return new Request.Builder()
        .url(base + "/stock-ledger/parts/1")
        .header("Authorization", "Bearer " + TOKEN)
        .header("Hbw-Key", "mill-7");
  }

  private static void answer(CallerExchange caller, String text, long length) {
    caller.begin(new AnswerHead(200, Headers.of(), 1, null, length));
    writeAll(caller, text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    caller.complete();
  }

  private static void answerPart(CallerExchange caller, long announced, int sent) {
    caller.begin(new AnswerHead(200, Headers.of(), 1, null, announced));
    writeAll(caller, new byte[sent]);
  }

  private static void writeAll(CallerExchange caller, byte[] body) {
    try {
      caller.write(body, body.length);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static Declarations declarations() {
    return new Declarations(
        List.of(),
        List.of(
            service("stock-ledger", ServiceKind.KEYED), service("order-desk", ServiceKind.POOLED)),
        List.of(),
        List.of(
            new Contract(
                ContractId.of("mill"),
                DigestUtils.sha256Hex(TOKEN),
                10,
                10,
                10,
                Set.of(ServiceId.of("stock-ledger")))),
        Set.of(),
        Set.of(),
        Set.of());
  }

  private static Service service(String name, ServiceKind kind) {
    return new Service(
        ServiceId.of(name),
        kind,
        kind == ServiceKind.KEYED ? 16 : 1,
        1,
        Fencing.CHECKED,
        Isolation.KEEP_SERVING,
        new ColdStart(1, 10, 1_000),
        1_000);
  }
}
