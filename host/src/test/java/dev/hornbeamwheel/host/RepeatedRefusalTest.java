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
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
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

  // Guards against a refusal that is sent once more where the resent attempt expects its response:
  // the attempt runs, and is sent a third time or reported as not run.
  @ParameterizedTest
  @ValueSource(ints = {421, 429, 503})
  void aRepeatedRefusalIsNotTheResponseToTheResentAttempt(int status) throws Exception {
    Map<Integer, String> refusals = new ConcurrentHashMap<>();
    AtomicInteger attempts = new AtomicInteger();
    script =
        request -> {
          String refusal = request.echo(status, "", NOT_EXECUTED);
          String repeated = refusals.getOrDefault(request.connection(), "");
          if (attempts.incrementAndGet() == 1) {
            refusals.put(request.connection(), refusal);
            return Reply.keep(refusal);
          }
          return Reply.keep(repeated + run(request));
        };

    HttpResponse<String> response = site.lookup(0, KEY);

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(attempts).hasValue(2);
    assertThat(runs).hasValue(1);
  }

  // Guards against a resent attempt that uses a new connection though it could use a kept one.
  @Test
  void aResentAttemptUsesAnotherKeptConnection() throws Exception {
    keepTwoConnections();
    AtomicInteger attempts = new AtomicInteger();
    script =
        request ->
            Reply.keep(
                attempts.incrementAndGet() == 1
                    ? request.echo(503, "", NOT_EXECUTED)
                    : run(request));
    int before = connections();

    assertThat(site.lookup(0, KEY).statusCode()).isEqualTo(200);

    assertThat(attempts).hasValue(2);
    assertThat(connections()).isEqualTo(before);
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

  // Guards against the promise 'not run' for a request that its upstream does not call not run.
  @ParameterizedTest
  @ValueSource(ints = {408, 429, 503})
  void aStatusThatPromisesNotRunIsReplacedIfTheUpstreamDoesNotSaySo(int status) throws Exception {
    script =
        request -> {
          runs.incrementAndGet();
          return Reply.keep(request.echo(status, "late", ScriptedUpstreamStandin.SIGNATURE));
        };

    HttpResponse<String> response = site.lookup(0, KEY);

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).isEmpty();
    assertThat(response.headers().firstValue(ScriptedUpstreamStandin.SIGNATURE_HEADER)).isEmpty();
    assertThat(runs).hasValue(1);
  }

  private void keepTwoConnections() throws Exception {
    CountDownLatch both = new CountDownLatch(2);
    script =
        request -> {
          both.countDown();
          await(both);
          return Reply.keep(run(request));
        };
    Thread other = new Thread(this::lookupQuietly);
    other.start();
    assertThat(site.lookup(0, KEY).statusCode()).isEqualTo(200);
    other.join();
  }

  private void lookupQuietly() {
    try {
      site.lookup(0, KEY);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private int connections() {
    return upstream.requests().stream().mapToInt(Request::connection).max().orElse(0);
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
