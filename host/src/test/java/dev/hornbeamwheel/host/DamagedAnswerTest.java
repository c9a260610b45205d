package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.standins.site.FaultyUpstreamStandin;
import dev.hornbeamwheel.standins.site.FaultyUpstreamStandin.Fault;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Answers that upstreams damage: callers get them whole, or not at all. */
final class DamagedAnswerTest {
  private static final Duration START = Duration.ofSeconds(20);

  private SiteFixture site;
  private FaultyUpstreamStandin upstream;

  @BeforeEach
  void start() throws Exception {
    site = new SiteFixture(1);
    assertThat(site.awaitServing(0, START)).isTrue();
    upstream = site.replacePooledWithFaulty();
    long until = System.nanoTime() + START.toNanos();
    while (upstream.runs() == 0 && System.nanoTime() < until) {
      site.order(0);
      Thread.sleep(50);
    }
  }

  @AfterEach
  void stop() throws IOException {
    site.close();
    upstream.close();
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"TRUNCATED", "UNFRAMED_RESET", "GARBAGE", "UNSIGNED"})
  void damagedResponseFailsOrderWithoutRetry(Fault fault) throws Exception {
    upstream.damage(fault);
    int before = upstream.runs();

    HttpResponse<String> answer = site.order(0);

    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(answer.body()).isEmpty();
    assertThat(upstream.runs()).isEqualTo(before + 1);
  }

  @Test
  void responseDelimitedByCloseIsDelivered() throws Exception {
    upstream.damage(Fault.UNFRAMED);

    HttpResponse<String> answer = site.order(0);

    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo(FaultyUpstreamStandin.BODY);
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"EXTRA", "LATE"})
  void responsesToOtherRequestsAreDiscarded(Fault fault) throws Exception {
    upstream.damage(fault);

    for (int i = 0; i < 4; i++) {
      HttpResponse<String> answer = site.order(0);
      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.body()).isEqualTo(FaultyUpstreamStandin.BODY);
    }
  }
}
