package dev.hornbeamwheel.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Resumes sending when the buffer of a connection has room again. */
final class WritabilityHandler extends ChannelInboundHandlerAdapter {
  private final Runnable resume;

  WritabilityHandler(Runnable resume) {
    this.resume = resume;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      resume.run();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Channels.close(context.channel());
  }
}
