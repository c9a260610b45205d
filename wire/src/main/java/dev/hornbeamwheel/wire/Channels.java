package dev.hornbeamwheel.wire;

import io.netty.channel.Channel;

/** Closing of connections. */
final class Channels {
  private Channels() {}

  /** Begins to close a channel; what was flushed before is still sent. */
  static void close(Channel channel) {
    // The outcome of a close changes nothing: the channel is of no more use either way.
    var unused = channel.close();
  }
}
