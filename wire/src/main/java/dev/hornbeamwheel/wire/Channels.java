package dev.hornbeamwheel.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/** Closing of connections, and writing without waiting. */
public final class Channels {
  private Channels() {}

  /** Begins to close a channel; what was flushed before is still sent. */
  public static void close(Channel channel) {
    // The outcome of a close changes nothing: the channel is of no more use either way.
    var unused = channel.close();
  }

  /** Closes a channel with a reset, so that bytes which are held up on the way are lost. */
  public static void reset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      close(channel);
    }
  }

  /** Writes and flushes; a failure shows by the end of the connection. */
  public static void send(Channel channel, Object message) {
    var unused = channel.writeAndFlush(message, channel.voidPromise());
  }
}
