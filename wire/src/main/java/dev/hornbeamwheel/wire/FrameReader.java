package dev.hornbeamwheel.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Hands each frame of an accepted connection to the listener. */
final class FrameReader extends SimpleChannelInboundHandler<ByteBuf> {
  private static final Logger LOGGER = System.getLogger(FrameReader.class.getName());

  private final PeerListener listener;
  private final TransportCounters counters;

  FrameReader(PeerListener listener, TransportCounters counters) {
    this.listener = listener;
    this.counters = counters;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    counters.received(frame.readableBytes() + FrameFormat.HEADER_BYTES);
    try {
      PeerFrame peer = PeerCodec.decode(ByteBufUtil.getBytes(frame));
      listener.received(peer.sender(), peer.incarnation(), peer.message());
    } catch (MalformedMessageException e) {
      counters.malformed();
      LOGGER.log(Level.DEBUG, "frame passed over", e);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOGGER.log(Level.DEBUG, "connection of a peer closed", cause);
    Channels.close(context.channel());
  }
}
