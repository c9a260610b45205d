package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.HostEvent;
import dev.hornbeamwheel.core.host.request.AttemptResult;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestHead;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.site.CallerProtocol;
import dev.hornbeamwheel.wire.http.AnswerLimits;
import dev.hornbeamwheel.wire.http.Call;
import dev.hornbeamwheel.wire.http.CallResult;
import dev.hornbeamwheel.wire.http.HttpCaller;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Callers' connections, and the attempts at upstreams that are made for them.
 *
 * <p>Answers of upstreams are read whole before they are passed on, so that one which breaks off
 * never looks complete to a caller. Confined to the thread of the event loop.
 */
final class CallerServer {
  /** How long to wait for a connection to an upstream, in milliseconds. */
  private static final int CONNECT_MILLIS = 350;

  /** Longest answer of an upstream, and all that are being read at a time, in bytes. */
  private static final AnswerLimits ANSWER_LIMITS = new AnswerLimits(4 << 20, 24 << 20);

  /** Longest idle time of a connection for a request that may be repeated, in milliseconds. */
  private static final long REPEATABLE_IDLE_MILLIS = 6_000;

  /** The same for a request that may run once only; a reset of an old connection loses it. */
  private static final long ONCE_IDLE_MILLIS = 3_000;

  /** The transport waits so much longer than the request's deadline, in milliseconds. */
  private static final long TIMEOUT_SLACK_MILLIS = 250;

  /** Bounds on callers before the first configuration. */
  private static final CallerLimits DEFAULT_LIMITS =
      new CallerLimits(16_384, 1 << 20, 3_000, 15_000);

  /** Time after which bytes that the socket has taken have probably arrived, in milliseconds. */
  private static final long SETTLED_MILLIS = 100;

  private static final int BACKLOG = 512;

  /** Time in which the end of a connection is noticed that was there before, in milliseconds. */
  private static final long CLOSE_CHECK_MILLIS = 3;

  private final EventLoopGroup loop;
  private final Clock clock;
  private final Consumer<HostEvent> events;
  private final Supplier<CallerLimits> limits;
  private final BooleanSupplier stopping;
  private final BooleanSupplier behind;
  private final Consumer<LogEntry> log;
  private final HttpCaller upstreams;
  private final Map<RequestRef, Exchange> exchanges = new HashMap<>();
  private final Map<CallerConnection, RequestTimer> connections = new HashMap<>();
  private Channel listening;
  private long nextRef = 1;

  CallerServer(
      EventLoopGroup loop,
      Clock clock,
      Consumer<HostEvent> events,
      Supplier<CallerLimits> limits,
      BooleanSupplier stopping,
      BooleanSupplier behind,
      Consumer<LogEntry> log) {
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    this.limits = limits;
    this.stopping = stopping;
    this.behind = behind;
    this.log = log;
    this.upstreams = HttpCaller.create(loop, clock, CONNECT_MILLIS, ANSWER_LIMITS);
  }

  static CallerLimits defaultLimits() {
    return DEFAULT_LIMITS;
  }

  void listen(Address address) throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    addHandlers(channel);
                  }
                })
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen on " + address + " for callers", bound.cause());
    }
    listening = bound.channel();
  }

  private void addHandlers(SocketChannel channel) {
    CallerLimits current = limits.get();
    RequestTimer timer = new RequestTimer(clock);
    CallerConnection connection = new CallerConnection(this);
    connections.put(connection, timer);
    channel
        .pipeline()
        .addLast(timer.bytes())
        .addLast(new StrictRequestDecoder(current.headerBytes()))
        .addLast(timer.parts())
        .addLast(new HttpResponseEncoder())
        .addLast(
            new RequestAggregator(
                current.bodyBytes(),
                () -> connection.refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)))
        .addLast(connection);
  }

  boolean stopping() {
    return stopping.getAsBoolean();
  }

  int connections() {
    return connections.size();
  }

  void opened(CallerConnection connection) {
    connections.computeIfAbsent(connection, opened -> new RequestTimer(clock));
  }

  /** Notes that an answer is on its way to the caller. */
  void answered(CallerConnection connection) {
    Optional.ofNullable(connections.get(connection)).ifPresent(RequestTimer::active);
  }

  /** Logs a connection that this host is about to close over an answer that is not sent whole. */
  void closing(CallerConnection connection) {
    long unsent = connection.unsentBytes();
    if (unsent > 0) {
      log.accept(LogEntry.failure("answer-cut").with("unsentBytes", unsent));
    }
  }

  /**
   * Forgets a connection that has ended.
   *
   * @param by who ended it
   * @param unanswered the requests whose answers it did not carry
   */
  void closed(CallerConnection connection, String by, List<Exchange> unanswered) {
    connections.remove(connection);
    if (!unanswered.isEmpty()) {
      log.accept(
          LogEntry.failure("connection-lost")
              .with("by", by)
              .with("unanswered", unanswered.size())
              .with("request", unanswered.get(0).attemptId()));
    }
  }

  Exchange exchange(CallerConnection connection, FullHttpRequest request, boolean keepAlive) {
    RequestRef ref = new RequestRef(nextRef++);
    RequestHead head = CallerProtocol.requestHead(request);
    Exchange exchange = new Exchange(ref, connection, request, head.attemptId(), keepAlive);
    exchanges.put(ref, exchange);
    return exchange;
  }

  void arrived(Exchange exchange) {
    if (behind.getAsBoolean()) {
      // The request may have waited unread, and its caller may have left: that is read first.
      var unused = loop.schedule(() -> admit(exchange), CLOSE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      admit(exchange);
    }
  }

  private void admit(Exchange exchange) {
    if (!exchange.connection().open()) {
      exchanges.remove(exchange.ref());
      exchange.request().release();
      return;
    }
    events.accept(
        new HostEvent.RequestArrived(
            clock.millis(), exchange.ref(), CallerProtocol.requestHead(exchange.request())));
  }

  void callerLeft(Exchange exchange) {
    events.accept(new HostEvent.CallerLeft(clock.millis(), exchange.ref()));
  }

  /** Closes connections that are idle, and those on which a caller is too slow. */
  void sweep() {
    long now = clock.millis();
    CallerLimits current = limits.get();
    upstreams.closeExpired();
    Map.copyOf(connections)
        .forEach(
            (connection, timer) -> {
              if (connection.idle() && timer.headLate(now, current.headerTimeoutMillis())) {
                connection.refuse(HttpResponseStatus.REQUEST_TIMEOUT);
              } else if (connection.sending()) {
                timer.active();
              } else if (connection.idle() && timer.silent(now, current.idleTimeoutMillis())) {
                connection.close("the idle limit");
              }
            });
  }

  /** Ends all connections behind the answers to what has arrived on them. */
  void finish() {
    Map.copyOf(connections)
        .forEach(
            (connection, timer) -> {
              boolean settled = timer.silent(clock.millis(), SETTLED_MILLIS);
              if (!connection.idle() || (settled && !timer.receiving())) {
                connection.finish();
              }
            });
  }

  void stopListening() {
    var unused = listening.close();
  }

  /** Carries out what a request asks for. */
  void perform(RequestEffect effect) {
    if (effect instanceof RequestEffect.Send send) {
      send(send);
    } else if (effect instanceof RequestEffect.PassOn passOn) {
      Exchange exchange = exchanges.remove(passOn.request());
      if (exchange != null) {
        exchange
            .connection()
            .answer(exchange, CallerProtocol.toCaller(exchange.takeUpstreamAnswer()));
      }
    } else if (effect instanceof RequestEffect.Answer answer) {
      Exchange exchange = exchanges.remove(answer.request());
      if (exchange != null) {
        exchange.dropUpstreamAnswer();
        exchange
            .connection()
            .answer(
                exchange,
                CallerProtocol.localResponse(
                    exchange.attemptId(), answer.answer(), answer.retryAfterMillis()));
      }
    } else if (effect instanceof RequestEffect.Forget forget) {
      Exchange exchange = exchanges.remove(forget.request());
      if (exchange != null) {
        exchange.dropUpstreamAnswer();
        exchange.request().release();
      }
    } else if (effect instanceof RequestEffect.Abort abort) {
      Exchange exchange = exchanges.get(abort.request());
      if (exchange != null) {
        exchange.abortAttempt();
      }
    }
  }

  private void send(RequestEffect.Send send) {
    Exchange exchange = exchanges.get(send.request());
    if (exchange == null) {
      ended(send.request(), AttemptResult.without(Completion.CANCELLED));
      return;
    }
    Call call =
        new Call(
            send.upstream().address(),
            CallerProtocol.toUpstream(exchange.request(), send.upstream(), send.leftMillis()),
            send.leftMillis() + TIMEOUT_SLACK_MILLIS,
            send.repeatable() ? REPEATABLE_IDLE_MILLIS : ONCE_IDLE_MILLIS,
            response -> CallerProtocol.matchesAttempt(exchange.attemptId(), response));
    exchange.attempt(upstreams.call(call, result -> attemptEnded(exchange, result)));
  }

  private void attemptEnded(Exchange exchange, CallResult result) {
    if (result instanceof CallResult.Answered answered) {
      AttemptResult read = CallerProtocol.attemptResult(answered.response());
      exchange.attemptEnded(answered.response());
      ended(exchange.ref(), read);
      if (!exchanges.containsKey(exchange.ref())) {
        exchange.dropUpstreamAnswer();
      }
      return;
    }
    exchange.attemptEnded(null);
    Completion completion =
        result instanceof CallResult.Unreachable
            ? Completion.UNREACHABLE
            : result instanceof CallResult.TimedOut ? Completion.TIMED_OUT : Completion.BROKEN;
    ended(exchange.ref(), AttemptResult.without(completion));
  }

  private void ended(RequestRef ref, AttemptResult result) {
    events.accept(new HostEvent.AttemptEnded(clock.millis(), ref, result));
  }
}
