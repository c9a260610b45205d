package dev.hornbeamwheel.wire.http;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.wire.Channels;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Makes HTTP calls, one at a time on each connection, and keeps connections for later calls.
 *
 * <p>A connection on which anything unexpected arrived is never used again. Confined to the thread
 * of its event loop.
 */
public final class HttpCaller {
  /** Most idle connections that are kept to one address. */
  private static final int MAX_IDLE = 4;

  /** Reads of one connection before the others have their turn. */
  private static final int READS_PER_TURN = 4;

  private static final RecvByteBufAllocator READS =
      new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS_PER_TURN);

  private final EventLoopGroup loop;
  private final Clock clock;
  private final int connectMillis;
  private final AnswerLimits limits;
  private final IncomingAnswers incoming;
  private final Map<Address, Deque<CallConnection>> idle = new HashMap<>();
  private final Set<CallConnection> sendingAfterAnswer = new HashSet<>();

  private HttpCaller(EventLoopGroup loop, Clock clock, int connectMillis, AnswerLimits limits) {
    this.loop = loop;
    this.clock = clock;
    this.connectMillis = connectMillis;
    this.limits = limits;
    this.incoming = new IncomingAnswers(limits.totalBytes());
  }

  /**
   * Returns a caller without connections.
   *
   * @param connectMillis how long to wait for a connection, in milliseconds
   * @param limits how much is read; a call whose answer is more than that ends as broken
   */
  public static HttpCaller create(
      EventLoopGroup loop, Clock clock, int connectMillis, AnswerLimits limits) {
    return new HttpCaller(loop, clock, connectMillis, limits);
  }

  /** Starts a call; its result is reported once, on the thread of the event loop. */
  public CallHandle call(Call call, Consumer<CallResult> result) {
    CallConnection kept = takeIdle(call);
    if (kept != null) {
      call.usedConnections().add(kept);
      kept.start(call, result);
      return kept::abort;
    }
    return connect(call, result);
  }

  /** Returns the unsent bytes of requests whose response arrived before they were sent in full. */
  public long unsentRequestBytes() {
    return sendingAfterAnswer.stream().mapToLong(CallConnection::unsentBytes).sum();
  }

  /** Closes idle connections that are past their time; to be called now and then. */
  public void closeExpired() {
    long now = clock.millis();
    List.copyOf(sendingAfterAnswer).forEach(connection -> connection.resetIfStalled(now));
    idle.values()
        .removeIf(
            connections -> {
              connections.removeIf(connection -> connection.closeIfExpired(now));
              return connections.isEmpty();
            });
  }

  /** Keeps a connection for later calls. */
  void keep(CallConnection connection) {
    Deque<CallConnection> connections =
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
    if (connections.size() >= MAX_IDLE) {
      connection.close();
    } else {
      connections.addFirst(connection);
    }
  }

  /** Records a connection that sends the rest of an answered request and is then closed. */
  void addSendingAfterAnswer(CallConnection connection) {
    sendingAfterAnswer.add(connection);
  }

  /** Forgets a connection that has ended. */
  void forget(CallConnection connection) {
    sendingAfterAnswer.remove(connection);
    Deque<CallConnection> connections = idle.get(connection.address());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /** Closes the idle connections to an address at which a kept one gave no answer. */
  void distrust(Address address) {
    Deque<CallConnection> connections = idle.remove(address);
    if (connections != null) {
      connections.forEach(CallConnection::close);
    }
  }

  private CallConnection takeIdle(Call call) {
    Deque<CallConnection> connections = idle.get(call.address());
    if (connections == null) {
      return null;
    }
    long now = clock.millis();
    for (Iterator<CallConnection> each = connections.iterator(); each.hasNext(); ) {
      CallConnection connection = each.next();
      if (!connection.usable(now)) {
        each.remove();
        connection.close();
      } else if (connection.idleFor(now) >= call.oldestIdleMillis()) {
        return null;
      } else if (!call.usedConnections().contains(connection)) {
        each.remove();
        return connection;
      }
    }
    return null;
  }

  private CallHandle connect(Call call, Consumer<CallResult> result) {
    CallConnection connection = new CallConnection(this, clock, call.address(), limits, incoming);
    call.usedConnections().add(connection);
    Bootstrap bootstrap = new Bootstrap();
    Channels.addKeepAlive(bootstrap);
    ChannelFuture connecting =
        bootstrap
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, READS)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, Math.min(connectMillis, call.timeoutMillis())))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    addCodec(channel, connection);
                  }
                })
            .connect(call.address().host(), call.address().port());
    connection.connecting(connecting.channel(), call, result);
    var unused =
        connecting.addListener(done -> connection.connected(done.isSuccess(), done.cause()));
    return connection::abort;
  }

  private void addCodec(Channel channel, CallConnection connection) {
    channel
        .pipeline()
        .addLast(new HttpRequestEncoder())
        .addLast(connection.decoder())
        .addLast(new HttpObjectAggregator(limits.answerBytes()))
        .addLast(connection);
  }
}
