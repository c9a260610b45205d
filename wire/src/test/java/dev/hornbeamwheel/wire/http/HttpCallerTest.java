package dev.hornbeamwheel.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls whose process is busy when their connection stands. */
final class HttpCallerTest {
  private static final long TIMEOUT_MILLIS = 300;
  private static final long BUSY_MILLIS = 600;
  private static final int WAIT_SECONDS = 10;

  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  // Guards against a grant that leaves after its time, when another coordinator is in office.
  @Test
  void aCallWhoseConnectionIsNoticedAfterItsTimeIsNeverSent() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<CallResult> result = new CompletableFuture<>();
      FullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/grant");
      Address address =
          new Address(InetAddress.getLoopbackAddress().getHostAddress(), server.getLocalPort());
      HttpCaller caller =
          HttpCaller.create(
              loop, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), 5_000, 1_024);

      loop.execute(
          () -> {
            var unused =
                caller.call(
                    new Call(address, request, TIMEOUT_MILLIS, 0, answer -> true),
                    result::complete);
            loop.execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(BUSY_MILLIS)));
          });

      assertThat(bytesRead(server)).isZero();
      assertThat(result.get(WAIT_SECONDS, TimeUnit.SECONDS))
          .isInstanceOf(CallResult.Unreachable.class);
    }
  }

  /** Returns how many bytes arrive on one connection before it ends. */
  private static int bytesRead(ServerSocket server) throws IOException {
    server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
    int bytes = 0;
    try (Socket socket = server.accept()) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
      while (socket.getInputStream().read() >= 0) {
        bytes++;
      }
    } catch (SocketException reset) {
      // The caller resets what it gives up.
      return bytes;
    }
    return bytes;
  }
}
