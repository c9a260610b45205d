import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A web application of another program. It is no backend of the deployment: it knows none of the
 * platform's headers, carries out each order that it gets, answers 303 as web forms do, and closes.
 */
final class OtherServer implements AutoCloseable {
  private final ServerSocket server =
      new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
  private final CaseRecord record;

  /** Ids of the requests that it has carried out. */
  final Set<String> ran = ConcurrentHashMap.newKeySet();

  OtherServer(CaseRecord record) throws IOException {
    this.record = record;
    Threads.start("other server", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Threads.start("other server", () -> serve(socket));
      } catch (IOException e) {
        // The server was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message request = Http.read(in);
      if (request != null) {
        String attempt = request.header("X-Hornbeamwheel-Request-Attempt-Id");
        ran.add(attempt);
        record.line("run-elsewhere " + attempt + " " + request.start());
        String answer =
            "HTTP/1.1 303 See Other\r\nLocation: /done\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      // The caller has gone.
    }
  }
}
