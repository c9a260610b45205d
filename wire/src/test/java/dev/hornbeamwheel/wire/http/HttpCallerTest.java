package dev.hornbeamwheel.wire.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
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
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls whose process is busy when their connection stands, and calls over a new connection. */
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
              loop,
              () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
              5_000,
              new AnswerLimits(1_024, 1_024));

      loop.execute(
          () -> {
            var unused =
                caller.call(
                    Call.once(address, request, TIMEOUT_MILLIS, 0, ResponseMatcher.inOrder()),
                    result::complete);
            loop.execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(BUSY_MILLIS)));
          });

      assertThat(bytesRead(server)).isZero();
      assertThat(result.get(WAIT_SECONDS, TimeUnit.SECONDS))
          .isInstanceOf(CallResult.Unreachable.class);
    }
  }

  // Guards against a call that must not use a kept connection and gets one that has just been kept.
  @Test
  void aCallThatAllowsNoIdleTimeUsesANewConnection() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
      HttpCaller caller = HttpCaller.create(loop, () -> 0, 5_000, new AnswerLimits(1_024, 1_024));
      List<Integer> connections = new CopyOnWriteArrayList<>();
      Thread answering = new Thread(() -> answer(server, connections));
      answering.setDaemon(true);
      answering.start();
      CompletableFuture<CallResult> result = new CompletableFuture<>();

      loop.execute(() -> call(caller, server, first -> call(caller, server, result::complete)));

      assertThat(result.get(WAIT_SECONDS, TimeUnit.SECONDS))
          .isInstanceOf(CallResult.Answered.class);
      assertThat(connections).containsExactly(1, 2);
    }
  }

  private static void call(HttpCaller caller, ServerSocket server, Consumer<CallResult> result) {
    Address address =
        new Address(InetAddress.getLoopbackAddress().getHostAddress(), server.getLocalPort());
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    var unused =
        caller.call(
            Call.once(
                address,
                request,
                TimeUnit.SECONDS.toMillis(WAIT_SECONDS),
                0,
                ResponseMatcher.inOrder()),
            result);
  }

  /** Answers each request, and notes the number of its connection. */
  private static void answer(ServerSocket server, List<Integer> connections) {
    for (int number = 1; !server.isClosed(); number++) {
      try {
        Socket socket = server.accept();
        int connection = number;
        Thread serving = new Thread(() -> answer(socket, connection, connections));
        serving.setDaemon(true);
        serving.start();
      } catch (IOException closed) {
        return;
      }
    }
  }

  private static void answer(Socket socket, int connection, List<Integer> connections) {
    try (socket) {
      StringBuilder head = new StringBuilder();
      for (int next = socket.getInputStream().read(); next >= 0; ) {
        head.append((char) next);
        if (head.indexOf("\r\n\r\n") >= 0) {
          head.setLength(0);
          connections.add(connection);
          socket
              .getOutputStream()
              .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
        }
        next = socket.getInputStream().read();
      }
    } catch (IOException reset) {
      // The caller has gone; its connection needs no answer.
      return;
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
