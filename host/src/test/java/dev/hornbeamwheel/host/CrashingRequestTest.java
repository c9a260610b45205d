package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin.Behaviour;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Requests that end each upstream which runs them, over several hosts and real connections. */
final class CrashingRequestTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final int HOSTS = 3;
  private static final int KEY = 17;

  /** Answers in a row of the upstreams wanted that show the others to be out of use. */
  private static final int IN_A_ROW = 30;

  /** Upstreams that one request may end before it is known and no longer sent. */
  private static final int MAX_CRASHES = 3;

  private static final String CRASHING_ORDER = "/order/" + CrashingUpstreams.CRASHING;
  private static final String CRASHING_LOOKUP = "/lookup/" + CrashingUpstreams.CRASHING;

  // Guards against a request that comes again at any host and ends one upstream each time.
  @Test
  void aRequestEndsAFewUpstreamsAtMostAtWhicheverHostItComesAgain() throws Exception {
    try (SiteFixture site = new SiteFixture(HOSTS);
        CrashingUpstreams upstreams = new CrashingUpstreams(site.store, "desk", 4)) {
      for (int i = 0; i < site.desk.size(); i++) {
        site.store.remove("servers", "i-desk-" + i);
      }
      awaitServing(site);
      awaitServedBy(host -> site.order(host).body(), CrashingUpstreams.BODY);

      for (int i = 0; i < 12; i++) {
        assertThat(site.get(i % HOSTS, CRASHING_ORDER).statusCode()).isGreaterThanOrEqualTo(500);
        Thread.sleep(300);
      }

      assertThat(upstreams.crashes()).isBetween(1, MAX_CRASHES);
      assertThat(site.order(0).statusCode()).isEqualTo(200);
    }
  }

  // Guards against a request that follows its key to each next owner and ends that one too.
  @Test
  void aKeyedRequestEndsAFewOwnersAtMost() throws Exception {
    try (SiteFixture site = new SiteFixture(HOSTS);
        CrashingUpstreams upstreams = new CrashingUpstreams(site.store, "ledger", 4)) {
      for (int i = 0; i < site.ledger.size(); i++) {
        site.store.remove("servers", "i-ledger-" + i);
      }
      awaitServing(site);
      awaitServedBy(host -> site.lookup(host, KEY).body(), CrashingUpstreams.BODY);

      long end = System.nanoTime() + Duration.ofSeconds(24).toNanos();
      for (int i = 0; System.nanoTime() < end && upstreams.crashes() <= MAX_CRASHES; i++) {
        site.get(i % HOSTS, CRASHING_LOOKUP, KEY);
        Thread.sleep(150);
      }

      assertThat(upstreams.crashes()).isBetween(1, MAX_CRASHES);
      assertThat(site.lookup(1, KEY).statusCode()).isEqualTo(200);
    }
  }

  // Guards against the rejection of innocent requests whose answers are lost by the dozen while
  // their upstreams live.
  @Test
  void requestsWhoseAnswersAreLostAreServedAgain() throws Exception {
    try (SiteFixture site = new SiteFixture(HOSTS)) {
      awaitServing(site);
      site.desk.forEach(upstream -> upstream.behave(Behaviour.LOSE_ANSWER));
      for (int i = 0; i < 24; i++) {
        assertThat(site.order(i % HOSTS).statusCode()).isEqualTo(502);
      }
      site.desk.forEach(upstream -> upstream.behave(Behaviour.SERVE));

      for (int host = 0; host < HOSTS; host++) {
        HttpResponse<String> response = site.order(host);
        assertThat(response.statusCode()).isEqualTo(200);
      }
    }
  }

  /** Asks for an answer's body at one host. */
  private interface BodyRequest {
    String body(int host) throws Exception;
  }

  /** Waits until the other upstreams of the service are out of use. */
  private static void awaitServedBy(BodyRequest request, String body) throws Exception {
    long end = System.nanoTime() + START_TIMEOUT.toNanos();
    int inARow = 0;
    for (int i = 0; inARow < IN_A_ROW && System.nanoTime() < end; i++) {
      inARow = request.body(i % HOSTS).equals(body) ? inARow + 1 : 0;
    }
    assertThat(inARow).isEqualTo(IN_A_ROW);
  }

  private static void awaitServing(SiteFixture site) throws Exception {
    for (int host = 0; host < HOSTS; host++) {
      assertThat(site.awaitServing(host, START_TIMEOUT)).isTrue();
    }
  }
}
