package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.node.PeerMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The transport over TCP.
 *
 * <p>Each member opens the connections that it sends on; frames arrive on those that others opened.
 *
 * <pre>{@code
 * PeerTransport transport = NettyPeerTransport.listen(address, self, incarnation, listener);
 * transport.addressKnown(peer, peerAddress);
 * transport.send(peer, message);
 * }</pre>
 */
public final class NettyPeerTransport implements PeerTransport {
  private static final int THREADS = 1;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long IDLE_CHECK_MILLIS = 10_000;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final MemberId self;
  private final Incarnation incarnation;
  private final PeerListener listener;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final TransportCounters counters = TransportCounters.zero();
  private final Map<MemberId, PeerConnection> peers = new ConcurrentHashMap<>();
  private final Bootstrap client;
  private Channel server;

  private NettyPeerTransport(MemberId self, Incarnation incarnation, PeerListener listener) {
    this.self = self;
    this.incarnation = incarnation;
    this.listener = listener;
    this.group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    this.loop = group.next();
    this.client = clientBootstrap();
  }

  /**
   * Listens on an address; port zero takes a free one.
   *
   * @param self this member, named in each message
   * @param incarnation this start of it
   * @throws IOException if the address cannot be listened on
   */
  public static NettyPeerTransport listen(
      InetSocketAddress address, MemberId self, Incarnation incarnation, PeerListener listener)
      throws IOException {
    NettyPeerTransport transport = new NettyPeerTransport(self, incarnation, listener);
    transport.bind(address);
    return transport;
  }

  @Override
  public void send(MemberId to, PeerMessage message) {
    PeerConnection peer = peers.get(to);
    if (peer == null) {
      counters.dropped();
      return;
    }
    byte[] bytes = PeerCodec.encode(new PeerFrame(self, incarnation, message));
    if (bytes.length > FrameFormat.MAX_FRAME_BYTES) {
      counters.dropped();
      return;
    }
    peer.send(
        new OutboundFrame(Unpooled.wrappedBuffer(bytes), message instanceof PeerMessage.Gossip));
  }

  @Override
  public void addressKnown(MemberId member, InetSocketAddress address) {
    peers
        .computeIfAbsent(
            member,
            absent ->
                new PeerConnection(client, loop, counters, () -> listener.unreachable(member)))
        .moveTo(address);
  }

  @Override
  public void forget(MemberId member) {
    PeerConnection peer = peers.remove(member);
    if (peer != null) {
      peer.close();
    }
  }

  @Override
  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  @Override
  public TransportCounters counters() {
    return counters;
  }

  @Override
  public void close() {
    Channels.close(server);
    peers.keySet().forEach(this::forget);
    shutDown();
  }

  private void bind(InetSocketAddress address) throws IOException {
    ChannelFuture bound = serverBootstrap().bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      shutDown();
      throw new IOException(bound.cause().getMessage(), bound.cause());
    }
    server = bound.channel();
    var unused =
        loop.scheduleWithFixedDelay(
            () -> peers.values().forEach(PeerConnection::closeIfIdle),
            IDLE_CHECK_MILLIS,
            IDLE_CHECK_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void shutDown() {
    var unused =
        group
            .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .awaitUninterruptibly(2 * CLOSE_TIMEOUT_MILLIS);
  }

  private Bootstrap clientBootstrap() {
    return new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                FrameFormat.addWriter(channel.pipeline());
              }
            });
  }

  private ServerBootstrap serverBootstrap() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                FrameFormat.addReader(channel.pipeline());
                channel.pipeline().addLast(new FrameReader(listener, counters));
              }
            });
  }
}
