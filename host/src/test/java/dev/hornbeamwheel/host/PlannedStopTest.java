package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.standins.site.SiteCaller;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests on open connections to hosts that stop, over the real stop path. */
final class PlannedStopTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final long GRACE_MILLIS = 6_000;

  /** Time in which a host drains open connections, in milliseconds; some requests come later. */
  private static final long SEND_MILLIS = 2_800;

  private static final long SEND_INTERVAL_MILLIS = 25;
  private static final int DEADLINE_MILLIS = 8_000;

  /** Age of a grant that ends before hosts drain, and is not renewed yet, in milliseconds. */
  private static final long OLD_GRANT_MILLIS = 600;

  /** Time after a stop signal in which hosts do not drain yet, in milliseconds. */
  private static final long DRAIN_MILLIS = 2_500;

  /** Interval at which a test looks whether it may go on, in milliseconds. */
  private static final long POLL_MILLIS = 5;

  private static final long RUN_MILLIS = 30;
  private static final int KEYS = 65_536;

  /** A request that crosses the close of its connection was not read: loss_slack_ms of a site. */
  private static final long CROSSING_MILLIS = 200;

  private static final int OK = 200;

  /** A request that was sent; its status is zero if the connection ended without a response. */
  private record Sent(int host, long afterStopMillis, long tookMillis, int status) {
    /** Returns whether the host read the request and closed the connection all the same. */
    boolean lost() {
      return status == 0 && tookMillis > CROSSING_MILLIS;
    }
  }

  private final Random keys = new Random(1);
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private SiteFixture site;

  @AfterEach
  void stop() {
    callers.shutdownNow();
    site.close();
  }

  /**
   * Guards against keyed requests that a stopping coordinator keeps for itself although its peers
   * follow the next one: they were sent to no upstream and got no answer.
   */
  @Test
  void keyedRequestsAtAStoppingCoordinatorAreServed() throws Exception {
    start(3);
    int coordinator = site.coordinator();
    List<List<Socket>> connections = List.of(connect(coordinator));
    awaitOldGrant();

    CompletableFuture<Void> stopped = stopHost(coordinator);
    List<Sent> sent = sendTo(List.of(coordinator), connections);
    stopped.join();

    assertThat(sent).noneMatch(Sent::lost);
    assertThat(sent.stream().filter(request -> request.afterStopMillis() < DRAIN_MILLIS))
        .isNotEmpty()
        .allMatch(request -> request.status() == OK);
  }

  /** Guards against the same at a coordinator that stops as soon as it has taken over. */
  @Test
  void keyedRequestsAreAnsweredWhenCoordinatorsStopOneAfterTheOther() throws Exception {
    start(3);
    int first = site.coordinator();
    List<List<Socket>> connections = new ArrayList<>();
    for (int host = 0; host < 3; host++) {
      connections.add(connect(host));
    }

    CompletableFuture<Void> firstStopped = stopHost(first);
    int second = awaitOtherCoordinator(first);
    CompletableFuture<Void> secondStopped = stopHost(second);
    List<Sent> sent = sendTo(List.of(0, 1, 2), connections);
    CompletableFuture.allOf(firstStopped, secondStopped).join();

    assertThat(sent).noneMatch(Sent::lost);
  }

  private void start(int hosts) throws Exception {
    site = new SiteFixture(hosts, GRACE_MILLIS);
    site.extendTimeLimits(Duration.ofMillis(DEADLINE_MILLIS));
    site.ledger.forEach(upstream -> upstream.runFor(RUN_MILLIS));
    for (int host = 0; host < hosts; host++) {
      assertThat(site.awaitServing(host, START_TIMEOUT)).isTrue();
    }
  }

  /** Opens connections to a host, one for each request that it gets. */
  private List<Socket> connect(int host) throws IOException {
    List<Socket> connections = new ArrayList<>();
    for (int i = 0; i < SEND_MILLIS / SEND_INTERVAL_MILLIS; i++) {
      Socket connection = new Socket();
      connection.setSoTimeout(DEADLINE_MILLIS + 1_000);
      connection.connect(
          new InetSocketAddress(
              InetAddress.getLoopbackAddress(), site.settings(host).callerAddress().port()));
      connections.add(connection);
    }
    return connections;
  }

  private CompletableFuture<Void> stopHost(int host) {
    return CompletableFuture.runAsync(() -> site.stopHost(host), callers);
  }

  /** Waits until the last grant to an upstream is nearly due for its renewal. */
  private void awaitOldGrant() throws InterruptedException {
    while (millis(System.nanoTime() - site.ledger.get(0).lastGrantNanos()) < OLD_GRANT_MILLIS) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  private int awaitOtherCoordinator(int first) throws InterruptedException {
    while (site.coordinator() == first) {
      Thread.sleep(POLL_MILLIS);
    }
    return site.coordinator();
  }

  /** Sends keyed requests on the connections in turn, from now on. */
  private List<Sent> sendTo(List<Integer> hosts, List<List<Socket>> connections)
      throws InterruptedException, ExecutionException {
    long stopNanos = System.nanoTime();
    List<Future<Sent>> requests = new ArrayList<>();
    for (int i = 0; i < connections.get(0).size(); i++) {
      for (int host = 0; host < hosts.size(); host++) {
        int index = hosts.get(host);
        Socket connection = connections.get(host).get(i);
        int key = keys.nextInt(KEYS);
        requests.add(callers.submit(() -> request(index, connection, key, stopNanos)));
      }
      Thread.sleep(SEND_INTERVAL_MILLIS);
    }
    List<Sent> sent = new ArrayList<>();
    for (Future<Sent> request : requests) {
      sent.add(request.get());
    }
    return sent;
  }

  private static Sent request(int host, Socket connection, int key, long stopNanos) {
    long beforeNanos = System.nanoTime();
    String request =
        "GET /lookup/%d HTTP/1.1\r\n".formatted(key)
            + SiteCaller.keyedHeaderLines(beforeNanos, DEADLINE_MILLIS, key)
            + "\r\n";
    int status = 0;
    try (connection) {
      connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String line =
          new String(connection.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
      status = line.length() == 12 ? Integer.parseInt(line.substring(9)) : 0;
    } catch (IOException e) {
      // The connection ended without a response.
    }
    return new Sent(
        host, millis(beforeNanos - stopNanos), millis(System.nanoTime() - beforeNanos), status);
  }

  private static long millis(long nanos) {
    return nanos / 1_000_000;
  }
}
