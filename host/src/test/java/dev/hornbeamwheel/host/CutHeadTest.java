package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Reply;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Request;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A caller never gets a response whose head the upstream did not finish. */
final class CutHeadTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

  /** Length of the attempt ids of the site's caller. */
  private static final int ID_LENGTH = 36;

  private volatile CutHead cut;
  private final AtomicInteger bytes = new AtomicInteger();
  private SiteFixture site;
  private ScriptedUpstreamStandin upstream;

  @BeforeEach
  void start() throws Exception {
    upstream = ScriptedUpstreamStandin.start(this::reply);
    site = new SiteFixture(1);
    for (int i = 0; i < site.desk.size(); i++) {
      site.store.remove("servers", "i-desk-" + i);
    }
    site.store.put("servers", "i-scripted", upstream.registration("desk", "quimper"));
    assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
  }

  @AfterEach
  void stop() throws IOException {
    site.close();
    upstream.close();
  }

  // Guards against a success with an empty or short body that looks whole.
  @ParameterizedTest
  @MethodSource("dev.hornbeamwheel.host.CutHead#all")
  void aHeadThatStopsAnywhereFailsTheOrder(CutHead way) throws Exception {
    cut = way;
    for (; bytes.get() < way.headBytes(ID_LENGTH); bytes.incrementAndGet()) {
      HttpResponse<String> response = orderUntilCut();
      assertThat(response.statusCode()).as("after %s bytes", bytes).isEqualTo(502);
      assertThat(response.body()).isEmpty();
    }
  }

  /** Sends orders until the response to one is cut; returns what its caller got. */
  private HttpResponse<String> orderUntilCut() throws IOException, InterruptedException {
    while (true) {
      int before = upstream.requests().size();
      HttpResponse<String> response = site.order(0);
      List<Request> arrived = upstream.requests();
      assertThat(arrived.size()).isLessThanOrEqualTo(before + 1);
      if (arrived.size() > before && cut.cuts(arrived.get(before))) {
        return response;
      }
    }
  }

  private Reply reply(Request request) {
    CutHead way = cut;
    return way == null
        ? Reply.keep(request.echo(200, "booked", ScriptedUpstreamStandin.SIGNATURE))
        : way.reply(request, bytes.get());
  }
}
