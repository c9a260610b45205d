package dev.hornbeamwheel.standins.site;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream that runs every request and damages its answers on the way out. */
public final class FaultyUpstreamStandin implements AutoCloseable {
  /** Body of a whole answer. */
  public static final String BODY = "booked";

  private static final String ATTEMPT_HEADER = "x-hornbeamwheel-request-attempt-id";

  /** What happens to an answer. */
  public enum Fault {
    /** It arrives whole. */
    NONE,
    /** It ends before its stated length. */
    TRUNCATED,
    /** It arrives whole, and bytes of another answer follow. */
    EXTRA,
    /** An answer to another request arrives before it. */
    LATE,
    /** It has no length and ends with its connection. */
    UNFRAMED,
    /** It has no length, and its connection is reset. */
    UNFRAMED_RESET,
    /** Bytes arrive that are no answer. */
    GARBAGE,
    /** It arrives whole, but without the signature. */
    UNSIGNED,
    /** It arrives whole, with the status 000. */
    STATUS_000,
    /** It arrives whole, with the status 999. */
    STATUS_999
  }

  private final ServerSocket listening;
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final AtomicInteger runs = new AtomicInteger();
  private volatile Fault fault = Fault.NONE;

  private FaultyUpstreamStandin() throws IOException {
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  /** Returns a running upstream on a port of its own. */
  public static FaultyUpstreamStandin start() throws IOException {
    FaultyUpstreamStandin upstream = new FaultyUpstreamStandin();
    daemon(upstream::accept).start();
    return upstream;
  }

  /** Changes what happens to answers. */
  public void damage(Fault next) {
    fault = next;
  }

  /** Returns how many requests it has run. */
  public int runs() {
    return runs.get();
  }

  /** Returns its registration as it lies in the store. */
  public String registration(String service, String dataCentre) {
    return """
        {"address":"127.0.0.1:%d","born":1700000000000,
         "server_info":{"service":"%s","version":"v1","zone":"%s","slots":2},
         "status":{"state":"ready","sequence":4,"cold_remaining_ms":0}}"""
        .formatted(listening.getLocalPort(), service, dataCentre);
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private static Thread daemon(Runnable run) {
    Thread thread = new Thread(run, "faulty-upstream");
    thread.setDaemon(true);
    return thread;
  }

  private void accept() {
    try {
      while (!listening.isClosed()) {
        Socket socket = listening.accept();
        open.add(socket);
        daemon(() -> serve(socket)).start();
      }
    } catch (IOException e) {
      // The stand-in was closed.
      open.clear();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (RawRequest next = RawRequest.read(in); next != null; next = RawRequest.read(in)) {
        runs.incrementAndGet();
        if (!answer(socket, next.header(ATTEMPT_HEADER))) {
          return;
        }
      }
    } catch (IOException e) {
      // The other side has gone; there is nobody to answer.
      open.remove(socket);
    }
  }

  /** Writes an answer; returns whether the connection goes on. */
  private boolean answer(Socket socket, String attempt) throws IOException {
    OutputStream out = socket.getOutputStream();
    String whole = whole(attempt, BODY);
    switch (fault) {
      case TRUNCATED -> write(out, whole.substring(0, whole.length() - 2));
      case EXTRA -> write(out, whole + whole("another-attempt", "booked twice"));
      case LATE -> write(out, whole("another-attempt", "booked before") + whole);
      case UNFRAMED, UNFRAMED_RESET -> write(out, unframed(attempt));
      case GARBAGE -> write(out, "\u0001\u0002 this is no answer\r\n\r\n");
      case UNSIGNED -> write(out, whole.replaceAll("X-Hornbeamwheel-Response-Signature.*\r\n", ""));
      case STATUS_000 -> write(out, whole.replace("200 OK", "000 Failure"));
      case STATUS_999 -> write(out, whole.replace("200 OK", "999 Failure"));
      default -> write(out, whole);
    }
    if (fault == Fault.UNFRAMED_RESET) {
      socket.setSoLinger(true, 0);
    }
    return switch (fault) {
      case NONE, EXTRA, LATE, STATUS_000, STATUS_999 -> true;
      default -> false;
    };
  }

  private static String whole(String attempt, String body) {
    return signed(attempt) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String unframed(String attempt) {
    return signed(attempt) + "Connection: close\r\n\r\n" + BODY;
  }

  private static String signed(String attempt) {
    return "HTTP/1.1 200 OK\r\nX-Hornbeamwheel-Request-Attempt-Id: "
        + attempt
        + "\r\nX-Hornbeamwheel-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
