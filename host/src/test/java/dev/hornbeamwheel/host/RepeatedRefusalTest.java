package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Reply;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Request;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Script;
import dev.hornbeamwheel.standins.site.SiteCaller;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What an upstream's refusal proves to a caller whose request may run once only. */
final class RepeatedRefusalTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final int KEY = 17;
  private static final String NOT_EXECUTED = ScriptedUpstreamStandin.NOT_EXECUTED;

  /** The configuration with lookups that may run once only. */
  private static final String CONFIGURATION =
      SiteCaller.CONFIGURATION
          .replace("\"r7\"", "\"r8\"")
          .replace("\"kind\":\"safe\"", "\"kind\":\"unsafe\"");

  private final AtomicInteger runs = new AtomicInteger();
  private volatile Script script = request -> Reply.keep(run(request));
  private SiteFixture site;
  private ScriptedUpstreamStandin upstream;

  @BeforeEach
  void start() throws Exception {
    upstream = ScriptedUpstreamStandin.start(this::reply);
    site = new SiteFixture(1);
    for (int i = 0; i < site.ledger.size(); i++) {
      site.store.remove("servers", "i-ledger-" + i);
    }
    site.store.put("servers", "i-scripted", upstream.registration("ledger", "quimper"));
    site.store.put("op", "config", CONFIGURATION);
    assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
    // Leaves one kept connection that has carried a request.
    assertThat(site.lookup(0, KEY).statusCode()).isEqualTo(200);
    runs.set(0);
  }

  @AfterEach
  void stop() throws IOException {
    site.close();
    upstream.close();
  }

  // Guards against 'not run' for a request that runs, because of a refusal of an earlier request.
  @ParameterizedTest
  @ValueSource(ints = {421, 429, 503})
  void aRefusalWithoutAnIdOnAUsedConnectionIsNoProof(int status) throws Exception {
    script =
        request -> {
          String earlier = Request.anonymous(status, "", NOT_EXECUTED);
          return Reply.keep(request.position() > 1 ? earlier + run(request) : run(request));
        };

    HttpResponse<String> response = site.lookup(0, KEY);

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(runs).hasValue(1);
  }

  private Reply reply(Request request) {
    return request.path().startsWith("/hornbeamwheel/")
        ? Reply.keep(request.echo(200, ""))
        : script.reply(request);
  }

  private String run(Request request) {
    runs.incrementAndGet();
    return request.echo(200, "found", ScriptedUpstreamStandin.SIGNATURE);
  }
}
