package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.buffers.BodyReads;
import dev.hornbeamwheel.core.host.buffers.BufferLimits;
import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.HostEvent;
import dev.hornbeamwheel.core.host.request.AttemptResult;
import dev.hornbeamwheel.core.host.request.ErrorResponse;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestHead;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.site.CallerProtocol;
import dev.hornbeamwheel.wire.http.AnswerLimits;
import dev.hornbeamwheel.wire.http.Call;
import dev.hornbeamwheel.wire.http.CallResult;
import dev.hornbeamwheel.wire.http.ConnectionCheck;
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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
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
 * Accepts callers' connections and forwards their requests to upstreams.
 *
 * <p>Buffers each upstream response completely before forwarding it, so that a truncated response
 * never looks complete to a caller. Confined to the event loop thread.
 */
final class CallerServer {
  /** Timeout for connecting to an upstream, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 350;

  /** Maximum size of one upstream response and of all that are being read, in bytes. */
  private static final AnswerLimits RESPONSE_LIMITS = new AnswerLimits(4 << 20, 24 << 20);

  /** Maximum idle time of a reused connection for a repeatable request, in milliseconds. */
  private static final long REPEATABLE_MAX_IDLE_MILLIS = 6_000;

  /**
   * Maximum idle time of a reused connection for a request that may run only once, in milliseconds.
   * It is shorter because a reset of a stale connection loses the request.
   */
  private static final long NON_REPEATABLE_MAX_IDLE_MILLIS = 3_000;

  /** Time by which the transport's timeout exceeds the request's deadline, in milliseconds. */
  private static final long TIMEOUT_SLACK_MILLIS = 250;

  /** Limits on callers until the first configuration has been read. */
  private static final CallerLimits DEFAULT_LIMITS =
      new CallerLimits(16_384, 1 << 20, 3_000, 15_000);

  /** Time in which bytes accepted by the socket have probably been delivered, in milliseconds. */
  private static final long DELIVERY_GRACE_MILLIS = 100;

  /** Maximum number of connections waiting to be accepted. */
  private static final int ACCEPT_BACKLOG = 512;

  /** Time in which the loop notices a disconnect that is already pending, in milliseconds. */
  private static final long DISCONNECT_CHECK_MILLIS = 3;

  private final EventLoopGroup loop;
  private final Clock clock;
  private final Consumer<HostEvent> events;
  private final Supplier<CallerLimits> limits;
  private final BooleanSupplier stopping;
  private final BooleanSupplier loopLagging;
  private final Consumer<LogEntry> log;
  private final HttpCaller upstreams;
  private final CallerBuffers buffers;
  private final Map<RequestRef, Exchange> exchanges = new HashMap<>();
  private final Map<CallerConnection, RequestTimer> connections = new HashMap<>();
  private Channel serverChannel;
  private long nextRef = 1;

  CallerServer(
      EventLoopGroup loop,
      Clock clock,
      Consumer<HostEvent> events,
      Supplier<CallerLimits> limits,
      BooleanSupplier stopping,
      BooleanSupplier loopLagging,
      Consumer<LogEntry> log,
      BufferLimits bufferLimits) {
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    this.limits = limits;
    this.stopping = stopping;
    this.loopLagging = loopLagging;
    this.log = log;
    this.buffers = new CallerBuffers(bufferLimits, clock, log);
    this.upstreams = HttpCaller.create(loop, clock, CONNECT_TIMEOUT_MILLIS, RESPONSE_LIMITS);
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
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
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
    serverChannel = bound.channel();
  }

  private void addHandlers(SocketChannel channel) {
    CallerLimits current = limits.get();
    RequestTimer timer = new RequestTimer(clock);
    CallerConnection connection = new CallerConnection(this);
    int maxBodyBytes = buffers.maxBodyBytes(current.bodyBytes());
    BodyGate gate = new BodyGate(buffers, connection, maxBodyBytes);
    connections.put(connection, timer);
    channel
        .pipeline()
        .addLast(timer.beforeDecoder())
        .addLast(new StrictRequestDecoder(current.headerBytes()))
        .addLast(timer.afterDecoder())
        .addLast(new HttpResponseEncoder())
        .addLast(gate)
        .addLast(
            new RequestAggregator(
                maxBodyBytes,
                () -> {
                  gate.discard();
                  connection.reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                }))
        .addLast(connection);
  }

  boolean stopping() {
    return stopping.getAsBoolean();
  }

  int connections() {
    return connections.size();
  }

  void connectionOpened(CallerConnection connection) {
    connections.computeIfAbsent(connection, opened -> new RequestTimer(clock));
  }

  /** Records activity on a connection because a response for it is ready. */
  void responseReady(CallerConnection connection) {
    Optional.ofNullable(connections.get(connection)).ifPresent(RequestTimer::recordActivity);
  }

  /** Logs a connection that this host is about to close before its responses are fully sent. */
  void connectionClosing(CallerConnection connection) {
    long unsent = connection.unsentBytes();
    if (unsent > 0) {
      log.accept(LogEntry.failure("answer-cut").with("unsentBytes", unsent));
    }
  }

  /**
   * Removes a closed connection.
   *
   * @param cause what closed it
   * @param unanswered its requests that got no response
   */
  void connectionClosed(CallerConnection connection, String cause, List<Exchange> unanswered) {
    connections.remove(connection);
    if (!unanswered.isEmpty()) {
      log.accept(
          LogEntry.failure("connection-lost")
              .with("by", cause)
              .with("unanswered", unanswered.size())
              .with("request", unanswered.get(0).attemptId()));
    }
  }

  CallerBuffers buffers() {
    return buffers;
  }

  /** Counts the bytes that callers and upstreams have not accepted. */
  void updateBuffers() {
    if (buffers.limited()) {
      buffers.tick(
          upstreams.unsentRequestBytes()
              + connections.keySet().stream()
                  .mapToLong(CallerConnection::bufferedResponseBytes)
                  .sum());
    }
  }

  /** Returns the response to a request that is refused because its body does not fit. */
  FullHttpResponse refuseBody(HttpRequest head) {
    long retryAfterMillis = BodyReads.retryAfterMillis(CallerProtocol.deadlineMillis(head));
    String attemptId = CallerProtocol.attemptId(head);
    buffers.logRefusal(attemptId, retryAfterMillis);
    return CallerProtocol.localResponse(attemptId, ErrorResponse.NO_ROOM, retryAfterMillis);
  }

  Exchange createExchange(CallerConnection connection, FullHttpRequest request, long bodyBytes) {
    RequestRef ref = new RequestRef(nextRef++);
    RequestHead head = CallerProtocol.requestHead(request);
    Exchange exchange = new Exchange(ref, connection, request, head, bodyBytes, buffers::release);
    exchanges.put(ref, exchange);
    return exchange;
  }

  void requestArrived(Exchange exchange) {
    if (loopLagging.getAsBoolean()) {
      // The request may have waited unread in the socket, and its caller may have disconnected
      // meanwhile; the delay lets the loop read a pending disconnect first.
      var unused =
          loop.schedule(() -> admit(exchange), DISCONNECT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      admit(exchange);
    }
  }

  private void admit(Exchange exchange) {
    if (!exchange.connection().connected()) {
      exchanges.remove(exchange.ref());
      exchange.releaseRequest();
      return;
    }
    events.accept(new HostEvent.RequestArrived(clock.millis(), exchange.ref(), exchange.head()));
  }

  void callerDisconnected(Exchange exchange) {
    events.accept(new HostEvent.CallerDisconnected(clock.millis(), exchange.ref()));
  }

  /** Closes idle connections and rejects requests whose headers arrive too slowly. */
  void enforceTimeouts() {
    long now = clock.millis();
    CallerLimits current = limits.get();
    upstreams.closeExpired();
    Map.copyOf(connections)
        .forEach(
            (connection, timer) -> {
              if (connection.idle() && timer.headerTimedOut(now, current.headerTimeoutMillis())) {
                connection.reject(HttpResponseStatus.REQUEST_TIMEOUT);
              } else if (connection.writeProgressed() || buffers.heldUp(connection)) {
                timer.recordActivity();
              } else if (connection.idle()
                  && timer.idleLongerThan(now, current.idleTimeoutMillis())) {
                if (buffers.mayRead(connection)) {
                  connection.close("the idle limit");
                } else {
                  // The body is read no further, as its caller was too slow in its turn.
                  buffers.refuse(connection);
                  connection.refuseBody();
                }
              }
            });
  }

  /** Closes each connection once the requests received on it are answered. */
  void closeConnectionsGracefully() {
    Map.copyOf(connections)
        .forEach(
            (connection, timer) -> {
              boolean delivered = timer.idleLongerThan(clock.millis(), DELIVERY_GRACE_MILLIS);
              if (!connection.idle() || (delivered && !timer.receiving())) {
                connection.closeGracefully();
              }
            });
  }

  /** Refuses the requests whose bodies have not arrived whole. */
  void refuseUnreadBodies() {
    Map.copyOf(connections)
        .forEach(
            (connection, timer) -> {
              if (connection.idle() && buffers.reading(connection)) {
                connection.refuseBody();
              }
            });
  }

  /** Returns whether every request is answered and the sockets have accepted every response. */
  boolean drained() {
    return connections.keySet().stream().allMatch(CallerConnection::drained);
  }

  void stopListening() {
    var unused = serverChannel.close();
  }

  /** Performs an effect of a request. */
  void perform(RequestEffect effect) {
    if (effect instanceof RequestEffect.Send send) {
      send(send);
    } else if (effect instanceof RequestEffect.ForwardResponse passOn) {
      Exchange exchange = exchanges.remove(passOn.request());
      if (exchange != null) {
        exchange
            .connection()
            .respond(exchange, CallerProtocol.toCaller(exchange.takeUpstreamResponse()));
      }
    } else if (effect instanceof RequestEffect.RespondWithError answer) {
      Exchange exchange = exchanges.remove(answer.request());
      if (exchange != null) {
        exchange.releaseUpstreamResponse();
        exchange
            .connection()
            .respond(
                exchange,
                CallerProtocol.localResponse(
                    exchange.attemptId(), answer.error(), answer.retryAfterMillis()));
      }
    } else if (effect instanceof RequestEffect.Discard forget) {
      Exchange exchange = exchanges.remove(forget.request());
      if (exchange != null) {
        exchange.releaseUpstreamResponse();
        exchange.releaseRequest();
      }
    } else if (effect instanceof RequestEffect.CheckUpstream check) {
      ConnectionCheck.start(
          loop,
          check.address(),
          CONNECT_TIMEOUT_MILLIS,
          result ->
              events.accept(
                  new HostEvent.UpstreamChecked(clock.millis(), check.upstream(), result)));
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
      reportAttemptResult(send.request(), AttemptResult.withoutResponse(Completion.CANCELLED));
      return;
    }
    Call call =
        new Call(
            send.upstream().address(),
            CallerProtocol.toUpstream(
                exchange.request(), send.upstream(), send.remainingMillis(), send.caller()),
            send.remainingMillis() + TIMEOUT_SLACK_MILLIS,
            send.idempotent() ? REPEATABLE_MAX_IDLE_MILLIS : NON_REPEATABLE_MAX_IDLE_MILLIS,
            CallerProtocol.responseMatcher(exchange.attemptId()),
            exchange.upstreamConnections());
    exchange.attemptStarted(upstreams.call(call, result -> attemptEnded(exchange, result)));
  }

  private void attemptEnded(Exchange exchange, CallResult result) {
    if (result instanceof CallResult.Answered answered) {
      AttemptResult attemptResult = CallerProtocol.attemptResult(answered.response());
      exchange.attemptEnded(answered.response());
      reportAttemptResult(exchange.ref(), attemptResult);
      if (!exchanges.containsKey(exchange.ref())) {
        exchange.releaseUpstreamResponse();
      }
      return;
    }
    exchange.attemptEnded(null);
    Completion completion =
        result instanceof CallResult.Unreachable
            ? Completion.UNREACHABLE
            : result instanceof CallResult.TimedOut ? Completion.TIMED_OUT : Completion.BROKEN;
    reportAttemptResult(exchange.ref(), AttemptResult.withoutResponse(completion));
  }

  private void reportAttemptResult(RequestRef ref, AttemptResult result) {
    events.accept(new HostEvent.AttemptEnded(clock.millis(), ref, result));
  }
}
