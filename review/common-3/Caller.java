import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A caller with one connection to an entry host. */
final class Caller implements AutoCloseable {
  private final Socket socket;
  private final BufferedInputStream in;

  Caller(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request; a body makes it a POST. */
  void send(String path, String attempt, long deadlineMillis, String body) throws IOException {
    String head =
        (body.isEmpty() ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: kerbriant.example\r\n"
            + "X-Hornbeamwheel-Request-Attempt-Id: " + attempt + "\r\n"
            + "X-Hornbeamwheel-Deadline-Milliseconds: " + deadlineMillis + "\r\n"
            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
            + "\r\n" + body;
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Waits for the next response; returns null if there is none in time or the connection ends. */
  Http.Message receive(long timeoutMillis) throws IOException {
    socket.setSoTimeout((int) Math.max(1, timeoutMillis));
    try {
      return Http.read(in);
    } catch (SocketTimeoutException e) {
      return null;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
