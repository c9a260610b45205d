package dev.hornbeamwheel.router.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.routing.AttemptOutcome;
import dev.hornbeamwheel.core.routing.Refusal;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.Headers;
import okio.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.IoUtils;

class OkHttpUpstreamClientTest {
  private static final String OWN_ID = "r-1";

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final OkHttpUpstreamClient client = OkHttpUpstreamClient.create(executor, 10);
  private final Recorder recorder = new Recorder();
  private Undertow server;

  @AfterEach
  void stop() {
    if (server != null) {
      server.stop();
    }
    executor.shutdownNow();
  }

  @Test
  void passesAWholeAnswerOn() throws Exception {
    AttemptOutcome outcome = run(exchange -> echo(exchange, OWN_ID, "whole"));
    assertThat(outcome).isEqualTo(new AttemptOutcome.Completed(200));
    assertThat(recorder.body.toString(StandardCharsets.UTF_8)).isEqualTo("whole");
  }

  @Test
  void discardsTheAnswerOfAnotherRequest() throws Exception {
    AttemptOutcome outcome = run(exchange -> echo(exchange, "r-2", "crossed"));
    assertThat(outcome).isEqualTo(new AttemptOutcome.MismatchedResponse());
    assertThat(recorder.body.size()).isZero();
  }

  @Test
  void tellsARefusalFromARun() throws Exception {
    AttemptOutcome outcome =
        run(
            exchange -> {
              exchange.setStatusCode(409);
              put(exchange, UpstreamHeaders.OUTCOME, "not-run");
              put(exchange, UpstreamHeaders.REASON, "stale-epoch");
              echo(exchange, OWN_ID, "");
            });
    assertThat(outcome).isEqualTo(new AttemptOutcome.Refused(Refusal.STALE_EPOCH));
  }

  @Test
  void trustsNoAnswerThatDoesNotSayItsOutcome() throws Exception {
    AttemptOutcome outcome =
        run(
            exchange -> {
              put(exchange, UpstreamHeaders.REQUEST_ID, OWN_ID);
              exchange.getResponseSender().send("x");
            });
    assertThat(outcome).isEqualTo(new AttemptOutcome.MismatchedResponse());
  }

  @Test
  void tellsABrokenAnswerFromAWholeOne() throws Exception {
    AttemptOutcome outcome = run(this::breakOff);
    assertThat(outcome).isEqualTo(new AttemptOutcome.TruncatedResponse(100_000, "\"v1\"", true));
  }

  @Test
  void tellsALostConnectionFromOneThatNeverWas() throws Exception {
    assertThat(run(exchange -> IoUtils.safeClose(exchange.getConnection())))
        .isEqualTo(new AttemptOutcome.ConnectionLost());
    recorder.ended = new CompletableFuture<>();
    client.start(spec("127.0.0.1:1", 1_000), recorder);
    assertThat(recorder.ended.get(5, TimeUnit.SECONDS))
        .isEqualTo(new AttemptOutcome.FailedBeforeSend());
  }

  @Test
  void endsAtTheDeadline() throws Exception {
    start(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {}));
    client.start(spec(address(), 50), recorder);
    assertThat(recorder.ended.get(5, TimeUnit.SECONDS))
        .isEqualTo(new AttemptOutcome.DeadlinePassed());
  }

  @Test
  void refusesAResumedAnswerOfAnotherVersion() throws Exception {
    start(
        exchange -> {
          exchange.setStatusCode(206);
          put(exchange, "ETag", "\"v2\"");
          put(exchange, "Content-Range", "bytes 3-4/5");
          echo(exchange, OWN_ID, "le");
        });
    client.start(resuming(address()), recorder);
    assertThat(recorder.ended.get(5, TimeUnit.SECONDS))
        .isEqualTo(new AttemptOutcome.TruncatedResponse(3, "\"v1\"", false));
  }

  private AttemptOutcome run(HttpHandler handler) throws Exception {
    start(handler);
    client.start(spec(address(), 5_000), recorder);
    return recorder.ended.get(10, TimeUnit.SECONDS);
  }

  private void start(HttpHandler handler) {
    server = Undertow.builder().addHttpListener(0, "127.0.0.1").setHandler(handler).build();
    server.start();
  }

  private String address() {
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    return "127.0.0.1:" + port;
  }

  private void breakOff(HttpServerExchange exchange) {
    put(exchange, UpstreamHeaders.REQUEST_ID, OWN_ID);
    put(exchange, UpstreamHeaders.OUTCOME, "completed");
    put(exchange, "ETag", "\"v1\"");
    exchange.setResponseContentLength(200_000);
    exchange.dispatch(
        () -> {
          exchange.startBlocking();
          writePart(exchange);
          IoUtils.safeClose(exchange.getConnection());
        });
  }

  private static void writePart(HttpServerExchange exchange) {
    try {
      exchange.getOutputStream().write(new byte[100_000]);
      exchange.getOutputStream().flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void echo(HttpServerExchange exchange, String id, String body) {
    put(exchange, UpstreamHeaders.REQUEST_ID, id);
    if (!exchange.getResponseHeaders().contains(UpstreamHeaders.OUTCOME)) {
      put(exchange, UpstreamHeaders.OUTCOME, "completed");
    }
    exchange.getResponseSender().send(body);
  }

  private static void put(HttpServerExchange exchange, String name, String value) {
    exchange.getResponseHeaders().put(HttpString.tryFromString(name), value);
  }

  private static AttemptSpec spec(String address, long timeoutMillis) {
    return attempt(address, timeoutMillis, 0, Optional.empty());
  }

  private static AttemptSpec resuming(String address) {
    return attempt(address, 5_000, 3, Optional.of("\"v1\""));
  }

  private static AttemptSpec attempt(
      String address, long timeoutMillis, long offset, Optional<String> validator) {
    return new AttemptSpec(
        RequestId.of(OWN_ID),
        address,
        "GET",
        "/x",
        Headers.of(),
        ByteString.EMPTY,
        Optional.of(Key.of("mill-7")),
        Slice.ofShard(3),
        7,
        Optional.<IdempotencyKey>empty(),
        timeoutMillis,
        offset,
        validator);
  }

  private static final class Recorder implements AttemptListener {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private CompletableFuture<AttemptOutcome> ended = new CompletableFuture<>();

    @Override
    public boolean started(AnswerHead head) {
      return true;
    }

    @Override
    public void body(byte[] buffer, int length) {
      body.write(buffer, 0, length);
    }

    @Override
    public void finished(AttemptOutcome outcome, long incarnation) {
      ended.complete(outcome);
    }
  }
}
