package dev.hornbeamwheel.host;

import dev.hornbeamwheel.wire.Channels;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a caller's connection after its last response.
 *
 * <p>Closing a socket with unread input sends a reset, which discards response bytes that the
 * caller has not received yet. Therefore only the output is shut down at first; further input is
 * read and discarded until the caller closes its side or a timeout expires.
 */
final class LingeringClose {
  /** Time that the caller has to close its side, in milliseconds. */
  private static final long LINGER_TIMEOUT_MILLIS = 1_000;

  private LingeringClose() {}

  /** Closes the connection of a write once the write is done. */
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
    var unusedShutdown =
        channel.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    var timeout =
        channel
            .eventLoop()
            .schedule(() -> Channels.close(channel), LINGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    var unusedClose = channel.closeFuture().addListener(closed -> timeout.cancel(false));
  }
}
