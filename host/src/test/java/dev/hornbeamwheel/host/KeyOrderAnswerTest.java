package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.keys.KeyEffect;
import dev.hornbeamwheel.core.host.keys.KeyRange;
import dev.hornbeamwheel.core.host.keys.OrderResult;
import dev.hornbeamwheel.core.host.node.HostEffect;
import dev.hornbeamwheel.core.host.node.HostEvent;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.platform.site.PlatformAdapter;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Reply;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Request;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Script;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What an upstream's answer to an order proves, over real connections. */
final class KeyOrderAnswerTest {
  private static final int WAIT_SECONDS = 20;
  private static final long NOW_MILLIS = 1_000;
  private static final KeyRange RANGE = new KeyRange(4_096, 8_191);
  private static final int ID_LENGTH = 16;
  private static final String HANDOVER = "X-Hornbeamwheel-Handover: 5c0e7a21d94b36f8";

  private static final Ticker STILL = Ticker.newMockTicker();

  private final EventLoopGroup loop = stillLoop();
  private final BlockingQueue<HostEvent> events = new LinkedBlockingQueue<>();

  /** The clock stands still, so that a connection is never idle for longer than zero. */
  private final PlatformAdapter adapter =
      PlatformAdapter.create(
          new Address("127.0.0.1", 1), loop, () -> NOW_MILLIS, events::add, entry -> {});

  private ScriptedUpstreamStandin upstream;

  @AfterEach
  void stop() throws IOException {
    upstream.close();
    var unused = loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // Guards against forgetting a grant that a failing upstream has applied all the same.
  @ParameterizedTest
  @ValueSource(ints = {400, 408, 429, 500, 502, 503, 504})
  void aFailureWithoutTheMarkLeavesOpenWhetherTheGrantWasApplied(int status) throws Exception {
    start(request -> Reply.keep(request.echo(status, "")));

    assertThat(grant()).isInstanceOf(OrderResult.Unanswered.class);
  }

  // Guards against treating keys as released that the upstream still holds.
  @ParameterizedTest
  @ValueSource(ints = {400, 409, 429, 500, 503, 504})
  void aFailureWithoutTheMarkLeavesOpenWhetherTheReleaseWasApplied(int status) throws Exception {
    start(request -> Reply.keep(request.echo(status, "")));

    assertThat(release()).isInstanceOf(OrderResult.Unanswered.class);
  }

  // Guards against holding keys back after an answer that proves that the grant was not applied.
  @ParameterizedTest
  @ValueSource(ints = {400, 429, 500, 503})
  void aFailureWithTheMarkProvesThatNothingWasDone(int status) throws Exception {
    start(request -> Reply.keep(request.echo(status, "", ScriptedUpstreamStandin.NOT_EXECUTED)));

    assertThat(grant()).isEqualTo(new OrderResult.Refused(status));
  }

  // Guards against holding keys back after an answer that proves that the grant was not applied.
  @Test
  void aGreaterTokenAndAnotherInstanceProveThatTheGrantWasNotApplied() throws Exception {
    start(request -> Reply.keep(request.echo(request.position() == 1 ? 409 : 421, "")));

    assertThat(grant()).isInstanceOf(OrderResult.Fenced.class);
    assertThat(grant()).isInstanceOf(OrderResult.Misdirected.class);
  }

  // Guards against taking the repeated answer to an earlier order for the answer to this one.
  @ParameterizedTest
  @ValueSource(ints = {200, 409, 421})
  void aRepeatedAnswerIsNotTheAnswerToTheNextGrant(int status) throws Exception {
    start(
        request ->
            Reply.keep(
                request.position() == 1
                    ? request.echo(status, "")
                    : Request.echo(upstream.requests().get(0).attemptId(), status, "")
                        + request.echo(503, "", ScriptedUpstreamStandin.NOT_EXECUTED)));
    grant();

    assertThat(grant()).isEqualTo(new OrderResult.Refused(503));
    assertThat(upstream.requests()).extracting(Request::connection).containsExactly(1, 1);
  }

  // Guards against forgetting a grant because of an answer that may belong to an earlier order.
  @ParameterizedTest
  @ValueSource(ints = {409, 421, 503})
  void aRefusalWithoutAnIdProvesNothingOnAUsedConnection(int status) throws Exception {
    start(
        request ->
            Reply.keep(
                request.position() == 1
                    ? Request.anonymous(200, "")
                    : Request.anonymous(status, "", ScriptedUpstreamStandin.NOT_EXECUTED)));
    grant();

    assertThat(grant()).isInstanceOf(OrderResult.Unanswered.class);
    grant();
    assertThat(upstream.requests()).extracting(Request::connection).containsExactly(1, 1, 2);
  }

  // Guards against a grant that counts as certainly carried out because of a second copy of an
  // earlier
  // answer: it is carried out late, when its keys have another owner (review/3).
  @Test
  void aSuccessWithoutAnIdDoesNotTellWhichGrantItBelongsToOnAUsedConnection() throws Exception {
    start(request -> Reply.keep(Request.anonymous(200, "")));

    assertThat(grant()).isEqualTo(new OrderResult.Done(Optional.empty(), true));
    assertThat(grant()).isEqualTo(new OrderResult.Done(Optional.empty(), false));
  }

  // Guards against a grant that is repeated for ever, because its answer never tells that it is its
  // own.
  @Test
  void aGrantThatMustBeVerifiedUsesANewConnection() throws Exception {
    start(request -> Reply.keep(Request.anonymous(200, "")));
    grant();

    assertThat(grant(true)).isEqualTo(new OrderResult.Done(Optional.empty(), true));
    assertThat(upstream.requests()).extracting(Request::connection).containsExactly(1, 2);
  }

  // Guards against holding keys back at an upstream that echoes no ids of orders.
  @Test
  void aRefusalWithoutAnIdCountsOnANewConnection() throws Exception {
    start(request -> Reply.keep(Request.anonymous(409, "")));

    assertThat(grant()).isInstanceOf(OrderResult.Fenced.class);
  }

  // Guards against a release that counts as done because of an extra answer to an earlier order.
  @Test
  void aReleaseIsNotAnsweredByAnExtraAnswerToAGrant() throws Exception {
    start(
        request ->
            Reply.keep(
                request.position() == 1 && request.path().endsWith("release")
                    ? Request.anonymous(200, "", HANDOVER)
                    : Request.anonymous(200, "")));
    grant();

    assertThat(release()).isEqualTo(new OrderResult.Done(Optional.of("5c0e7a21d94b36f8")));
    assertThat(upstream.requests()).extracting(Request::connection).containsExactly(1, 2);
  }

  // Guards against a new connection, which is priced, for each renewal.
  @Test
  void renewalsUseTheSameConnectionWhetherOrNotIdsAreEchoed() throws Exception {
    start(
        request ->
            Reply.keep(
                request.position() % 2 == 0 ? request.echo(200, "") : Request.anonymous(200, "")));

    for (int i = 0; i < 4; i++) {
      assertThat(grant()).isInstanceOf(OrderResult.Done.class);
    }
    assertThat(upstream.requests()).extracting(Request::connection).containsOnly(1);
  }

  // Guards against an order that counts as answered though the upstream stopped within the head.
  @ParameterizedTest
  @MethodSource("dev.hornbeamwheel.host.CutHead#all")
  void aHeadThatStopsAnywhereIsNoAnswer(CutHead way) throws Exception {
    AtomicInteger bytes = new AtomicInteger();
    start(request -> way.reply(request, bytes.get()));

    for (; bytes.get() < way.headBytes(ID_LENGTH); bytes.incrementAndGet()) {
      if (way.reused()) {
        assertThat(grant()).isInstanceOf(OrderResult.Done.class);
      }
      assertThat(grant()).as("after %s bytes", bytes).isInstanceOf(OrderResult.Unanswered.class);
    }
  }

  // Guards against answers that fit two orders.
  @Test
  void eachOrderHasAnIdOfItsOwn() throws Exception {
    start(request -> Reply.keep(request.echo(200, "")));

    for (int i = 0; i < 4; i++) {
      grant();
      release();
    }

    assertThat(upstream.requests()).hasSize(8).extracting(Request::attemptId).doesNotContain("");
    assertThat(upstream.requests()).extracting(Request::attemptId).doesNotHaveDuplicates();
  }

  /** Returns a loop whose time stands still, so that no order times out on a busy machine. */
  private static EventLoopGroup stillLoop() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()) {
      @Override
      protected IoEventLoop newChild(
          Executor executor, IoHandlerFactory handlers, Object... arguments) {
        return new SingleThreadIoEventLoop(this, executor, handlers) {
          @Override
          public Ticker ticker() {
            return STILL;
          }
        };
      }
    };
  }

  private void start(Script script) throws IOException {
    upstream = ScriptedUpstreamStandin.start(script);
  }

  private OrderResult grant() throws InterruptedException {
    return grant(false);
  }

  private OrderResult grant(boolean verified) throws InterruptedException {
    return perform(
        new KeyEffect.Grant(
            1,
            UpstreamId.of("i-1"),
            address(),
            RANGE,
            12,
            3_000,
            Optional.empty(),
            NOW_MILLIS + 250,
            verified));
  }

  private OrderResult release() throws InterruptedException {
    return perform(new KeyEffect.Release(1, UpstreamId.of("i-1"), address(), RANGE, 12));
  }

  private Address address() {
    return new Address("127.0.0.1", upstream.port());
  }

  private OrderResult perform(KeyEffect effect) throws InterruptedException {
    loop.execute(() -> adapter.performKeys(new HostEffect.Keys(1, ServiceId.of("ledger"), effect)));
    HostEvent event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(event).isInstanceOf(HostEvent.OrderEnded.class);
    return ((HostEvent.OrderEnded) event).result();
  }
}
