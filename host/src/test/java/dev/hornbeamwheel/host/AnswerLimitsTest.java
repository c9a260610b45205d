package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.standins.site.Flood;
import dev.hornbeamwheel.standins.site.FloodingStandin;
import dev.hornbeamwheel.wire.http.AnswerLimits;
import dev.hornbeamwheel.wire.http.Call;
import dev.hornbeamwheel.wire.http.CallResult;
import dev.hornbeamwheel.wire.http.HttpCaller;
import dev.hornbeamwheel.wire.http.ResponseMatcher;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the limit on the total size of concurrently read responses, over real connections. */
final class AnswerLimitsTest {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long CALL_TIMEOUT_MILLIS = 20_000;
  private static final int MAX_RESPONSE_BYTES = 64 << 20;
  private static final int MAX_TOTAL_BYTES = 1 << 20;

  /**
   * Upper bound on the bytes sent: the total limit and, for each of 3 calls, two socket buffers.
   */
  private static final long MAX_SENT_BYTES = 48 << 20;

  private final EventLoopGroup loop = HostModule.loop();
  private final HttpCaller caller =
      HttpCaller.create(
          loop,
          HostModule.clock(),
          CONNECT_TIMEOUT_MILLIS,
          new AnswerLimits(MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES));
  private FloodingStandin floodingServer;
  private FloodingStandin healthyServer;

  @BeforeEach
  void start() throws IOException {
    floodingServer = FloodingStandin.start();
    healthyServer = FloodingStandin.start();
  }

  @AfterEach
  void stop() throws IOException {
    floodingServer.close();
    healthyServer.close();
    var unused = loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against responses that are each within their limit but exceed the memory together. */
  @Test
  void responsesOverTotalLimitAreBroken() throws Exception {
    floodingServer.flood(Flood.UNFRAMED_BODY);

    List<CompletableFuture<CallResult>> calls =
        Stream.generate(() -> call(floodingServer)).limit(3).toList();

    for (CompletableFuture<CallResult> call : calls) {
      assertThat(call.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
          .isInstanceOf(CallResult.Broken.class);
    }
    assertThat(floodingServer.sentBytes()).isLessThan(MAX_SENT_BYTES);
  }

  /** Guards against short responses that fail because of a concurrent oversized response. */
  @Test
  void shortResponsesSucceedBesideOversizedOnes() throws Exception {
    floodingServer.flood(Flood.UNFRAMED_BODY);

    for (int i = 0; i < 20; i++) {
      CompletableFuture<CallResult> endless = call(floodingServer);
      CompletableFuture<CallResult> whole = call(healthyServer);

      assertThat(whole.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
          .isInstanceOfSatisfying(
              CallResult.Answered.class,
              answered -> assertThat(answered.response().release()).isTrue());
      assertThat(endless.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
          .isInstanceOf(CallResult.Broken.class);
    }
  }

  /** Guards against waiting for a body, and against reading one as the next response. */
  @Test
  void headResponseHasNoBody() throws Exception {
    for (int i = 0; i < 2; i++) {
      assertThat(
              call(healthyServer, HttpMethod.HEAD).get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
          .isInstanceOfSatisfying(
              CallResult.Answered.class,
              answered -> {
                assertThat(answered.response().content().readableBytes()).isZero();
                answered.response().release();
              });
    }
  }

  private CompletableFuture<CallResult> call(FloodingStandin server) {
    return call(server, HttpMethod.GET);
  }

  private CompletableFuture<CallResult> call(FloodingStandin server, HttpMethod method) {
    Address address = new Address("127.0.0.1", server.port());
    DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
    request.headers().set(HttpHeaderNames.HOST, address.toString());
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          var unused =
              caller.call(
                  Call.once(address, request, CALL_TIMEOUT_MILLIS, 0, ResponseMatcher.inOrder()),
                  result::complete);
        });
    return result;
  }
}
