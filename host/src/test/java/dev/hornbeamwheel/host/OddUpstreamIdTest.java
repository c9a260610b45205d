package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests registrations under ids that no header may carry. */
final class OddUpstreamIdTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final int ODD_UPSTREAMS = 6;
  private static final int CONCURRENT_ORDERS = 6;

  /** Time for the host to read the registrations and to move keys, in milliseconds. */
  private static final long SETTLE_MILLIS = 2_500;

  /** Guards against sending a request to such an upstream, which ends as a timeout. */
  @Test
  void concurrentOrdersAreServedBesideUpstreamsWithOddIds() throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CONCURRENT_ORDERS);
    try (SiteFixture site = new SiteFixture(1)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      registerOddUpstreams(site, "desk");
      Thread.sleep(SETTLE_MILLIS);
      site.desk.forEach(upstream -> upstream.runFor(200));

      List<Callable<Integer>> orders =
          IntStream.range(0, CONCURRENT_ORDERS)
              .<Callable<Integer>>mapToObj(i -> () -> site.order(0).statusCode())
              .toList();
      for (Future<Integer> status : callers.invokeAll(orders)) {
        assertThat(status.get()).isEqualTo(200);
      }
    } finally {
      callers.shutdownNow();
    }
  }

  /** Guards against granting keys to such an upstream, so that they are served by none. */
  @Test
  void allKeysAreServedBesideUpstreamsWithOddIds() throws Exception {
    try (SiteFixture site = new SiteFixture(1)) {
      registerOddUpstreams(site, "ledger");
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      Thread.sleep(SETTLE_MILLIS);

      for (int key = 0; key < 65_536; key += 4_093) {
        assertThat(site.lookup(0, key).statusCode()).as("key " + key).isEqualTo(200);
      }
    }
  }

  private static void registerOddUpstreams(SiteFixture site, String service) {
    for (int i = 0; i < ODD_UPSTREAMS; i++) {
      site.store.put(
          "servers",
          "i-" + service + "\r\n" + i,
          site.desk.get(0).registration(service, "quimper", false));
    }
  }
}
