package dev.hornbeamwheel.host;

import dev.hornbeamwheel.wire.Channels;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Ends a caller's connection behind its last answer.
 *
 * <p>A connection that is closed with unread bytes is reset, and a reset discards what the caller
 * has not received. So only the sending side is shut, and what still arrives is read and dropped
 * until the caller closes, too, or for a limited time.
 */
final class LingeringClose {
  /** How long the caller has to close its side, in milliseconds. */
  private static final long LINGER_TIMEOUT_MILLIS = 1_000;

  private LingeringClose() {}

  /** Ends the connection once a write is done. */
  static void afterWrite(ChannelFuture lastWrite) {
    var unused =
        lastWrite.addListener(
            done -> {
              if (done.isSuccess() && lastWrite.channel() instanceof DuplexChannel channel) {
                linger(channel);
              } else {
                Channels.close(lastWrite.channel());
              }
            });
  }

  private static void linger(DuplexChannel channel) {
    channel.config().setAutoRead(true);
    var unusedShut = channel.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    var closing =
        channel
            .eventLoop()
            .schedule(() -> Channels.close(channel), LINGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    var unusedEnd = channel.closeFuture().addListener(closed -> closing.cancel(false));
  }
}
