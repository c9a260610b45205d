package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.proto.host.HostFrame;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The connections between hosts: each host has one to the coordinator, which accepts them all.
 *
 * <p>Confined to the thread of its event loop, but for {@link #listen}. Messages to a peer that
 * does not read are dropped with its connection.
 */
public final class HostLinks {
  /** A connection that is not established within this time has failed, in milliseconds. */
  private static final int CONNECT_MILLIS = 400;

  /** Bytes that may wait for a peer that does not read. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  private static final Logger LOGGER = System.getLogger(HostLinks.class.getName());

  private final EventLoopGroup loop;
  private final HostLinkListener listener;
  private final Map<LinkId, Channel> hosts = new HashMap<>();
  private Channel coordinator;
  private long nextLink = 1;

  private HostLinks(EventLoopGroup loop, HostLinkListener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /** Returns links that are not connected yet; all work is done on the loop's single thread. */
  public static HostLinks create(EventLoopGroup loop, HostLinkListener listener) {
    return new HostLinks(loop, listener);
  }

  /**
   * Accepts the connections of other hosts.
   *
   * @throws IOException if the address cannot be listened on
   */
  public void listen(Address address) throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    addCodec(channel);
                    channel.pipeline().addLast(new HostHandler(new LinkId(nextLink++)));
                  }
                })
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen on " + address + " for other hosts", bound.cause());
    }
  }

  /** Connects to the coordinator of a term; an earlier connection is closed. */
  public void connect(long term, Address address) {
    disconnect();
    Bootstrap bootstrap = new Bootstrap();
    Channels.addKeepAlive(bootstrap);
    ChannelFuture connecting =
        bootstrap
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    addCodec(channel);
                    channel.pipeline().addLast(new CoordinatorHandler(term));
                  }
                })
            .connect(address.host(), address.port());
    coordinator = connecting.channel();
    var unused =
        connecting.addListener(
            done -> {
              if (!done.isSuccess()) {
                LOGGER.log(Level.DEBUG, "coordinator at {0} is unreachable", address);
                listener.coordinatorGone(term);
              }
            });
  }

  /** Closes the connection to the coordinator, if there is one. */
  public void disconnect() {
    if (coordinator != null) {
      Channels.reset(coordinator);
      coordinator = null;
    }
  }

  /** Says something to the coordinator; nothing happens without a connection. */
  public void say(HostMessage message) {
    if (coordinator != null) {
      write(coordinator, message);
    }
  }

  /** Says something to a host that is connected to this one. */
  public void tell(LinkId link, HostMessage message) {
    Channel channel = hosts.get(link);
    if (channel != null) {
      write(channel, message);
    }
  }

  /** Returns the bytes that the operating system has not yet taken for the hosts. */
  public long queuedBytes() {
    return hosts.values().stream().mapToLong(HostLinks::pendingBytes).sum();
  }

  /** Closes the connections of all hosts to this one. */
  public void dropHosts() {
    List.copyOf(hosts.values()).forEach(Channels::reset);
  }

  private void write(Channel channel, HostMessage message) {
    if (pendingBytes(channel) > MAX_PENDING_BYTES) {
      LOGGER.log(Level.WARNING, "a host does not read; its connection is closed");
      Channels.reset(channel);
      return;
    }
    byte[] bytes = HostMessageMapping.toProto(message).toByteArray();
    Channels.send(channel, Unpooled.wrappedBuffer(bytes));
    listener.sent(message, bytes.length + FrameFormat.HEADER_BYTES);
  }

  private static long pendingBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  private static void addCodec(SocketChannel channel) {
    FrameFormat.addReader(channel.pipeline());
    FrameFormat.addWriter(channel.pipeline());
  }

  private abstract static class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
        throws IOException, MalformedMessageException {
      HostFrame frame = HostFrame.parseFrom(ByteBufUtil.getBytes(bytes));
      if (HostMessageMapping.known(frame)) {
        received(HostMessageMapping.fromProto(frame));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOGGER.log(Level.DEBUG, "a connection between hosts failed", cause);
      Channels.close(context.channel());
    }

    abstract void received(HostMessage message);
  }

  private final class HostHandler extends FrameHandler {
    private final LinkId link;

    private HostHandler(LinkId link) {
      this.link = link;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      hosts.put(link, context.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      hosts.remove(link);
      listener.hostGone(link);
    }

    @Override
    void received(HostMessage message) {
      listener.hostSaid(link, message);
    }
  }

  private final class CoordinatorHandler extends FrameHandler {
    private final long term;

    private CoordinatorHandler(long term) {
      this.term = term;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      listener.coordinatorConnected(term);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      listener.coordinatorGone(term);
    }

    @Override
    void received(HostMessage message) {
      listener.coordinatorSaid(term, message);
    }
  }
}
