package dev.hornbeamwheel.standins.site;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream whose bytes follow a script, also where these break the protocol. */
public final class ScriptedUpstreamStandin implements AutoCloseable {
  /** Header that names the attempt of a request and of its response. */
  public static final String ATTEMPT_HEADER = "X-Hornbeamwheel-Request-Attempt-Id";

  /** Header line of a response that states that nothing was done. */
  public static final String NOT_EXECUTED = "X-Hornbeamwheel-Not-Executed: 1";

  /** Header that a successful response must have. */
  public static final String SIGNATURE_HEADER = "X-Hornbeamwheel-Response-Signature";

  /** Header line of a response that counts as a success. */
  public static final String SIGNATURE = SIGNATURE_HEADER + ": 3e1b.07.5a2.600.0.c9f2a4d1";

  private static final int BACKLOG = 200;

  /** What happens to a connection after a reply. */
  public enum Ending {
    /** The next request is read. */
    KEEP,
    /** It is closed after the reply. */
    CLOSE,
    /** It is reset after the reply. */
    RESET
  }

  /**
   * A request that has arrived.
   *
   * @param connection number of its connection, from 1
   * @param position position among the requests of its connection, from 1
   * @param path its path
   * @param attemptId id of its attempt; empty if it has none
   */
  public record Request(int connection, int position, String path, String attemptId) {
    /** Returns a response with a body and any further header lines, which echoes the attempt. */
    public String echo(int status, String body, String... headerLines) {
      return echo(attemptId, status, body, headerLines);
    }

    /** Returns a response that names an attempt of the caller's choice. */
    public static String echo(String attemptId, int status, String body, String... headerLines) {
      return anonymous(status, body, headerLines)
          .replaceFirst("\r\n", "\r\n" + ATTEMPT_HEADER + ": " + attemptId + "\r\n");
    }

    /** Returns a response that names no attempt. */
    public static String anonymous(int status, String body, String... headerLines) {
      String extra = headerLines.length == 0 ? "" : String.join("\r\n", headerLines) + "\r\n";
      return "HTTP/1.1 "
          + status
          + " Scripted\r\n"
          + extra
          + "Content-Length: "
          + body.length()
          + "\r\n\r\n"
          + body;
    }
  }

  /**
   * What is sent in place of an answer.
   *
   * @param bytes the bytes, in ISO 8859-1
   * @param ending what happens to the connection after them
   */
  public record Reply(String bytes, Ending ending) {
    /** Returns a reply after which the connection goes on. */
    public static Reply keep(String bytes) {
      return new Reply(bytes, Ending.KEEP);
    }
  }

  /** Decides what is sent; called by one thread for each connection. */
  @FunctionalInterface
  public interface Script {
    /** Returns the reply to a request. */
    Reply reply(Request request);
  }

  private final ServerSocket listening;
  private final Script script;
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final List<Request> requests = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();

  private ScriptedUpstreamStandin(Script script) throws IOException {
    this.script = script;
    this.listening = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  }

  /** Returns a running upstream on a port of its own. */
  public static ScriptedUpstreamStandin start(Script script) throws IOException {
    ScriptedUpstreamStandin upstream = new ScriptedUpstreamStandin(script);
    daemon(upstream::accept).start();
    return upstream;
  }

  /** Returns the requests that have arrived, in their order. */
  public List<Request> requests() {
    return List.copyOf(requests);
  }

  /** Returns the port that it listens on. */
  public int port() {
    return listening.getLocalPort();
  }

  /** Returns its registration as it lies in the store. */
  public String registration(String service, String dataCentre) {
    return """
        {"address":"127.0.0.1:%d","born":1700000000000,
         "server_info":{"service":"%s","version":"v1","zone":"%s","slots":4},
         "status":{"state":"ready","sequence":4,"cold_remaining_ms":0}}"""
        .formatted(port(), service, dataCentre);
  }

  @Override
  public void close() throws IOException {
    // The accepting thread forgets the open connections once it can't accept any more.
    List<Socket> connected = List.copyOf(open);
    listening.close();
    for (Socket socket : connected) {
      socket.close();
    }
  }

  private static Thread daemon(Runnable run) {
    Thread thread = new Thread(run, "scripted-upstream");
    thread.setDaemon(true);
    return thread;
  }

  private void accept() {
    try {
      while (!listening.isClosed()) {
        Socket socket = listening.accept();
        open.add(socket);
        int connection = connections.incrementAndGet();
        daemon(() -> serve(socket, connection)).start();
      }
    } catch (IOException e) {
      // The stand-in was closed.
      open.clear();
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      int position = 1;
      for (RawRequest next = RawRequest.read(in); next != null; next = RawRequest.read(in)) {
        Request request =
            new Request(
                connection,
                position++,
                next.head().split(" ", 3)[1],
                next.header("x-hornbeamwheel-request-attempt-id"));
        requests.add(request);
        if (!send(socket, script.reply(request))) {
          return;
        }
      }
    } catch (IOException e) {
      // The caller has closed the connection.
      open.remove(socket);
    }
  }

  /** Sends a reply; returns whether the connection goes on. */
  private static boolean send(Socket socket, Reply reply) throws IOException {
    socket.getOutputStream().write(reply.bytes().getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    if (reply.ending() == Ending.RESET) {
      socket.setSoLinger(true, 0);
    }
    return reply.ending() == Ending.KEEP;
  }
}
