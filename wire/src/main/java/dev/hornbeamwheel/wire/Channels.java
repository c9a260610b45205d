package dev.hornbeamwheel.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Closing of connections, and writing without waiting. */
public final class Channels {
  /** Idle time before the first keep-alive probe, and time between two, in seconds. */
  private static final int KEEPALIVE_SECONDS = 1;

  /** Probes without an answer after which a connection has failed. */
  private static final int KEEPALIVE_PROBES = 2;

  private Channels() {}

  /**
   * Makes a connection fail a few seconds after the other side falls silent, without any traffic of
   * its own while it is idle.
   */
  public static void addKeepAlive(Bootstrap bootstrap) {
    bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES);
  }

  /** Closes a channel; of what was written, only what its socket has taken is still sent. */
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

  /** Returns the number of written bytes that the socket of a channel has not accepted yet. */
  public static long unsentBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    // The total counts a partly sent buffer in full; only its remaining part is unsent.
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }

  /** Writes and flushes; a failure shows by the end of the connection. */
  public static void send(Channel channel, Object message) {
    var unused = channel.writeAndFlush(message, channel.voidPromise());
  }
}
