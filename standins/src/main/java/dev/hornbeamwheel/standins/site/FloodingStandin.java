package dev.hornbeamwheel.standins.site;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A server whose answers go on until the other side closes. */
public final class FloodingStandin implements AutoCloseable {
  private static final int BACKLOG = 200;
  private static final int BLOCK_BYTES = 16_384;

  /** Time until late bytes come, in milliseconds. */
  private static final long LATE_MILLIS = 300;

  /** Time between two checks of an answer that is held back, in milliseconds. */
  private static final int HOLD_CHECK_MILLIS = 20;

  private final ServerSocket listening;
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger floods = new AtomicInteger();
  private final AtomicInteger begun = new AtomicInteger();
  private final AtomicInteger cuts = new AtomicInteger();
  private final AtomicInteger mostFloods = new AtomicInteger();
  private final AtomicLong sent = new AtomicLong();
  private volatile Flood flood = Flood.NONE;
  private volatile int heldUntilFloods;

  private FloodingStandin() throws IOException {
    listening = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  }

  /** Returns a running server, on a port of its own, that answers as it should. */
  public static FloodingStandin start() throws IOException {
    FloodingStandin server = new FloodingStandin();
    daemon(server::accept).start();
    return server;
  }

  /** Changes what comes in the place of answers. */
  public void flood(Flood next) {
    flood = next;
  }

  /**
   * Holds back each answer without end after its first block until a number of them have begun or
   * the other side closes; then none is held back any more. Without this, how many run at a time
   * depends on scheduling: a host gives an upstream one request at a time once three of them in a
   * row have failed, and it may cut the first three before the next request arrives.
   */
  public void holdUntilFloods(int count) {
    heldUntilFloods = count;
  }

  /** Returns how many requests it has run. */
  public int runs() {
    return runs.get();
  }

  /** Returns on how many connections bytes without end are being sent. */
  public int floods() {
    return floods.get();
  }

  /** Returns on how many connections at most a block of them had been sent at the same time. */
  public int mostFloods() {
    return mostFloods.get();
  }

  /** Returns how many times the other side has ended such a connection. */
  public int cuts() {
    return cuts.get();
  }

  /** Returns how many bytes without end it has sent. */
  public long sentBytes() {
    return sent.get();
  }

  /** Returns the port that it listens on. */
  public int port() {
    return listening.getLocalPort();
  }

  /** Returns its registration, as an upstream, as it lies in the store. */
  public String registration(String service, String dataCentre, int slots) {
    return """
        {"address":"127.0.0.1:%d","born":1700000000000,
         "server_info":{"service":"%s","version":"v1","zone":"%s","slots":%d},
         "status":{"state":"ready","sequence":4,"cold_remaining_ms":0}}"""
        .formatted(port(), service, dataCentre, slots);
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private static Thread daemon(Runnable run) {
    Thread thread = new Thread(run, "flooding-standin");
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
        answer(socket, in, next.header("x-hornbeamwheel-request-attempt-id"));
      }
    } catch (IOException e) {
      // The other side has gone; there is nobody to answer.
      open.remove(socket);
    }
  }

  private void answer(Socket socket, InputStream in, String attempt) throws IOException {
    OutputStream out = socket.getOutputStream();
    Flood chosen = flood;
    write(out, chosen.start(attempt));
    if (chosen.unit().isEmpty()) {
      return;
    }
    floods.incrementAndGet();
    boolean counted = false;
    try {
      if (!chosen.late().isEmpty()) {
        Thread.sleep(LATE_MILLIS);
        write(out, chosen.late());
      }
      byte[] block = bytes(chosen.unit().repeat(1 + BLOCK_BYTES / chosen.unit().length()));
      while (true) {
        out.write(block);
        sent.addAndGet(block.length);
        if (!counted) {
          counted = true;
          mostFloods.accumulateAndGet(begun.incrementAndGet(), Math::max);
          hold(socket, in);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      if (counted) {
        begun.decrementAndGet();
      }
      floods.decrementAndGet();
      cuts.incrementAndGet();
    }
  }

  /** Waits until enough answers have begun; fails if the other side closes before. */
  private void hold(Socket socket, InputStream in) throws IOException {
    socket.setSoTimeout(HOLD_CHECK_MILLIS);
    while (mostFloods.get() < heldUntilFloods) {
      try {
        if (in.read() < 0) {
          throw new EOFException("closed while an answer was held back");
        }
      } catch (SocketTimeoutException e) {
        // The other side still waits for the answer.
      }
    }
    socket.setSoTimeout(0);
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(bytes(text));
    out.flush();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
