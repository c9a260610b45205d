package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The link between the hosts and one upstream, which can be cut for the host that sends orders.
 *
 * <p>While it is cut, bytes are held up as packets are that are sent again and again. They are lost
 * if their sender resets the connection. Otherwise they arrive some time after the link has healed.
 */
final class Proxy implements AutoCloseable {
  private static final String ORDER = "POST /hornbeamwheel/";

  private final ServerSocket server;
  private final int upstreamPort;
  private final Record record;
  private final String name;
  private final List<Link> cutLinks = new ArrayList<>();
  private boolean cutting;
  private boolean holdsUp;
  private boolean healed;

  private Proxy(ServerSocket server, int upstreamPort, String name, Record record) {
    this.server = server;
    this.upstreamPort = upstreamPort;
    this.name = name;
    this.record = record;
  }

  static Proxy start(int upstreamPort, String name, Record record) throws IOException {
    Proxy proxy =
        new Proxy(
            new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1")),
            upstreamPort,
            name,
            record);
    Upstream.daemon(proxy::accept);
    return proxy;
  }

  int port() {
    return server.getLocalPort();
  }

  /** Cuts the link for the host that sends orders; those of the other hosts stay. */
  synchronized void cut() {
    cutting = true;
  }

  /** Waits until an order is held up. */
  synchronized void awaitHeldUp() throws IOException {
    long until = System.nanoTime() + 5_000_000_000L;
    while (!holdsUp) {
      if (System.nanoTime() > until) {
        throw new IOException("no order was sent over the cut link");
      }
      try {
        wait(100);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  private synchronized void noteHeldUp() {
    holdsUp = true;
    notifyAll();
  }

  /** Ends the cutting of further connections: the host that sent orders has ended. */
  synchronized void senderEnded() {
    cutting = false;
  }

  /** Heals the link; bytes that are held up and not lost arrive after a time. */
  void heal(long arriveAfterMillis) {
    Upstream.sleep(arriveAfterMillis);
    synchronized (this) {
      healed = true;
      notifyAll();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Link link = new Link(server.accept(), new Socket("127.0.0.1", upstreamPort));
        Upstream.daemon(link::toUpstream);
        Upstream.daemon(link::toHost);
      } catch (IOException e) {
        record.line("link to %s: %s", name, e.getMessage());
      }
    }
  }

  private final class Link {
    private final Socket host;
    private final Socket upstream;
    private volatile boolean cut;

    private Link(Socket host, Socket upstream) throws IOException {
      this.host = host;
      this.upstream = upstream;
      host.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
    }

    private void toUpstream() {
      ByteArrayOutputStream heldUp = new ByteArrayOutputStream();
      byte[] buffer = new byte[16_384];
      boolean reset = false;
      try {
        InputStream in = host.getInputStream();
        OutputStream out = upstream.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          cut |= isCutting() && new String(buffer, 0, count, StandardCharsets.ISO_8859_1).startsWith(ORDER);
          if (cut) {
            heldUp.write(buffer, 0, count);
            noteHeldUp();
          } else {
            out.write(buffer, 0, count);
          }
        }
      } catch (IOException e) {
        reset = true;
      }
      if (cut) {
        finish(heldUp.toByteArray(), reset);
      }
      closeBoth();
    }

    private void finish(byte[] heldUp, boolean reset) {
      record.line(
          "link to %s: sender %s the connection with %d bytes held up",
          name, reset ? "reset" : "closed", heldUp.length);
      if (reset || heldUp.length == 0) {
        return;
      }
      synchronized (Proxy.this) {
        while (!healed) {
          try {
            Proxy.this.wait();
          } catch (InterruptedException e) {
            return;
          }
        }
      }
      try {
        record.line("link to %s: %d held up bytes arrive", name, heldUp.length);
        upstream.getOutputStream().write(heldUp);
        upstream.shutdownOutput();
        Upstream.sleep(500);
      } catch (IOException e) {
        record.line("link to %s: %s", name, e.getMessage());
      }
    }

    private void toHost() {
      byte[] buffer = new byte[16_384];
      try {
        InputStream in = upstream.getInputStream();
        OutputStream out = host.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          if (!cut) {
            out.write(buffer, 0, count);
          }
        }
      } catch (IOException e) {
        // The other direction closes both.
      }
      if (!cut) {
        closeBoth();
      }
    }

    private void closeBoth() {
      try {
        host.close();
        upstream.close();
      } catch (IOException e) {
        record.line("link to %s: %s", name, e.getMessage());
      }
    }
  }

  private synchronized boolean isCutting() {
    return cutting;
  }
}
