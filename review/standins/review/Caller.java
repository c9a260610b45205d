package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller with one kept connection. */
final class Caller implements AutoCloseable {
  private final Socket socket;
  private final BufferedInputStream in;

  private Caller(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
  }

  static Caller connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(30_000);
    return new Caller(socket);
  }

  /** Sends a request without waiting for its answer. */
  void send(String method, String path, String attempt, String headers, byte[] body)
      throws IOException {
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n"
            + "X-Hornbeamwheel-Request-Attempt-Id: " + attempt + "\r\n" + headers
            + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(body);
  }

  /** Waits for the next answer; null if the connection ends without one. */
  Http receive() throws IOException {
    return Http.read(in);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
