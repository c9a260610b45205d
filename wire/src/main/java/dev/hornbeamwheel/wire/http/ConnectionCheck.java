package dev.hornbeamwheel.wire.http;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.request.CheckResult;
import dev.hornbeamwheel.wire.Channels;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.function.Consumer;

/** Finds out whether a process listens at an address, by a connection that carries nothing. */
public final class ConnectionCheck {
  private ConnectionCheck() {}

  /**
   * Connects to an address and closes the connection.
   *
   * @param timeoutMillis time to wait for the connection, in milliseconds
   * @param result receives the result once, on the thread of the event loop
   */
  public static void start(
      EventLoopGroup loop, Address address, int timeoutMillis, Consumer<CheckResult> result) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(address.host(), address.port());
    var unused =
        connecting.addListener(
            done -> {
              if (done.isSuccess()) {
                Channels.close(connecting.channel());
              }
              result.accept(resultOf(done.cause()));
            });
  }

  private static CheckResult resultOf(Throwable failure) {
    if (failure == null) {
      return CheckResult.ACCEPTED;
    }
    // A missing route is reported by another type; only the timeout is a subtype.
    boolean refused =
        failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    return refused ? CheckResult.REFUSED : CheckResult.NO_RESPONSE;
  }
}
