package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.platform.site.CallerProtocol;
import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin;
import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin.Behaviour;
import dev.hornbeamwheel.standins.site.SiteCaller;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Runs entry hosts against stand-ins for the store and the upstreams, over real connections. */
final class HostServerTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

  @Test
  void servesKeyedAndPooledRequestsOnEachHost() throws Exception {
    try (SiteFixture site = new SiteFixture(3)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();

      for (int host = 0; host < 3; host++) {
        assertThat(site.awaitServing(host, START_TIMEOUT)).isTrue();
        for (int key = 0; key < 65_536; key += 9_973) {
          assertThat(site.lookup(host, key).statusCode()).isEqualTo(200);
        }
        assertThat(site.getUnknownPath(host).statusCode()).isEqualTo(404);
      }
    }
  }

  @Test
  void orderWithLostResponseIsNotRetried() throws Exception {
    try (SiteFixture site = new SiteFixture(1)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      site.desk.forEach(upstream -> upstream.behave(Behaviour.LOSE_ANSWER));
      int before = site.desk.stream().mapToInt(KeyedUpstreamStandin::runs).sum();

      HttpResponse<String> response = site.order(0);

      assertThat(response.statusCode()).isEqualTo(502);
      assertThat(site.desk.stream().mapToInt(KeyedUpstreamStandin::runs).sum())
          .isEqualTo(before + 1);
    }
  }

  @Test
  void orderShedByAllUpstreamsGetsRetryAfter() throws Exception {
    try (SiteFixture site = new SiteFixture(1)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      site.desk.forEach(upstream -> upstream.behave(Behaviour.SHED));

      HttpResponse<String> response = site.order(0);

      assertThat(response.statusCode()).isEqualTo(503);
      assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }
  }

  @Test
  void keysOfDrainingUpstreamMoveToAnother() throws Exception {
    try (SiteFixture site = new SiteFixture(2)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      KeyedUpstreamStandin draining =
          site.ledger.stream().filter(upstream -> upstream.holds(17)).findFirst().orElseThrow();
      int index = site.ledger.indexOf(draining);

      site.store.put(
          "servers", "i-ledger-" + index, draining.registration("ledger", "quimper", true));
      Thread.sleep(1_500);

      assertThat(draining.holds(17)).isFalse();
      assertThat(site.lookup(0, 17).statusCode()).isEqualTo(200);
    }
  }

  @Test
  void invalidRegistrationRowsAreIgnored() throws Exception {
    try (SiteFixture site = new SiteFixture(1)) {
      site.store.put("servers", "i-forged-1", "{\"address\":17,\"status\":[]}");
      site.store.put("servers", "i-forged-2", "no JSON at all");
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      site.store.put("servers", "i-ledger-0", "{}");
      Thread.sleep(1_500);

      assertThat(site.lookup(0, 17).statusCode()).isEqualTo(200);
    }
  }

  @Test
  void servesDuringStoreOutageAndAfterLossOfStoreHistory() throws Exception {
    try (SiteFixture site = new SiteFixture(2)) {
      assertThat(site.awaitServing(1, START_TIMEOUT)).isTrue();
      site.store.refuse(true);
      Thread.sleep(3_000);
      assertThat(site.lookup(1, 17).statusCode()).isEqualTo(200);
      assertThat(site.order(1).statusCode()).isEqualTo(200);

      site.store.refuse(false);
      site.store.forgetHistory();
      site.store.put("op", "config", SiteCaller.CONFIGURATION.replace("/order/", "/book/"));
      site.store.put(
          "op",
          "config",
          SiteCaller.CONFIGURATION.replace("r7", "r9").replace("/order/", "/book/"));
      Thread.sleep(2_500);

      assertThat(site.order(1).statusCode()).isEqualTo(404);
      assertThat(site.lookup(1, 17).statusCode()).isEqualTo(200);
    }
  }

  @Test
  void servesReadinessAndMetrics() throws Exception {
    try (SiteFixture site = new SiteFixture(1)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();

      HttpResponse<String> ready =
          site.get(site.settings(0).readinessAddress(), CallerProtocol.READINESS_PATH);
      HttpResponse<String> metrics = site.get(site.settings(0).metricsAddress(), "/metrics");

      assertThat(ready.statusCode()).isEqualTo(200);
      assertThat(metrics.body())
          .contains(
              "hornbeamwheel_requests_total",
              "hornbeamwheel_attempts_total",
              "hornbeamwheel_store_calls_total",
              "hornbeamwheel_key_orders_total",
              "hornbeamwheel_request_duration_seconds_bucket",
              "hornbeamwheel_choices_total{by=\"coordinator\",choice=\"SEND\"}",
              "hornbeamwheel_event_loop_delay_milliseconds",
              "hornbeamwheel_log_lines_dropped_total");
    }
  }
}
