package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.standins.site.Flood;
import dev.hornbeamwheel.standins.site.FloodingStandin;
import dev.hornbeamwheel.standins.site.SiteCaller;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

/** Tests that an endless upstream response fails early and that its connection is closed. */
final class EndlessAnswerTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

  /** Time in which the upstream notices that the host closed a connection. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  /** Upper bound on the bytes sent: the response limit and the buffers of two sockets. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  /** Longest hold of keys, and time for the keys to move to the upstream and back. */
  private static final Duration HOLD_TIMEOUT = Duration.ofSeconds(40);

  private static final int KEY_COUNT = 65;
  private static final int KEY_STEP = 1_009;
  private static final int SLOTS = 2;

  private SiteFixture site;
  private FloodingStandin upstream;

  @BeforeEach
  void start() throws Exception {
    site = new SiteFixture(1);
    assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
  }

  @AfterEach
  void stop() throws IOException {
    site.close();
    upstream.close();
  }

  /** Guards against reading a response until the deadline passes or the memory is exhausted. */
  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      mode = Mode.EXCLUDE,
      names = {"NONE", "AFTER_ANSWER", "ON_IDLE_CONNECTION"})
  void anOrderWithAnEndlessAnswerFailsBeforeItsDeadlineAndIsNotSentAgain(Flood flood)
      throws Exception {
    startFloodingUpstreamOnly();
    upstream.flood(flood);
    int before = upstream.runs();

    HttpResponse<String> response = site.order(0);

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).isEmpty();
    assertThat(upstream.runs()).isEqualTo(before + 1);
    assertThat(awaitClosedFloods(1)).isTrue();
    assertThat(upstream.sentBytes()).isLessThan(MAX_SENT_BYTES);
    assertThat(site.lookup(0, 17).statusCode()).isEqualTo(200);
  }

  /** Guards against parsing the extra bytes as a response and against reusing the connection. */
  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      names = {"AFTER_ANSWER", "ON_IDLE_CONNECTION"})
  void bytesAfterResponseCloseConnectionWithoutFailingRequests(Flood flood) throws Exception {
    startFloodingUpstreamOnly();
    upstream.flood(flood);

    for (int i = 0; i < 4; i++) {
      HttpResponse<String> response = site.order(0);
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("booked");
      assertThat(awaitClosedFloods(i + 1)).isTrue();
    }
    assertThat(upstream.sentBytes()).isLessThan(4 * MAX_SENT_BYTES);
  }

  /** Guards against failing a request that another upstream could have answered. */
  @Test
  void safeRequestWithEndlessResponseIsRetriedElsewhere() throws Exception {
    site.store.put(
        "op",
        "config",
        SiteCaller.CONFIGURATION.replace("r7", "r9").replace("\"unsafe\"", "\"safe\""));
    upstream = site.addFloodingUpstream("desk", SLOTS);
    site.drainPooledUpstream(0);
    upstream.flood(Flood.UNFRAMED_BODY);

    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (upstream.runs() == 0 && System.nanoTime() < deadlineNanos) {
      HttpResponse<String> response = site.order(0);
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).contains("served");
    }
    assertThat(upstream.runs()).isPositive();
  }

  /** Guards against leaving keys with an upstream to which they cannot be granted. */
  @Test
  void keysMoveFromUpstreamWithEndlessGrantResponsesAfterHoldsExpire() throws Exception {
    upstream = site.addFloodingUpstream("ledger", SLOTS);
    upstream.flood(Flood.UNFRAMED_BODY);
    awaitFirstRun();

    long deadlineNanos = System.nanoTime() + HOLD_TIMEOUT.toNanos();
    while (servedKeys() < KEY_COUNT && System.nanoTime() < deadlineNanos) {
      Thread.sleep(500);
    }

    assertThat(servedKeys()).isEqualTo(KEY_COUNT);
    assertThat(awaitClosedFloods(1)).isTrue();
  }

  private int servedKeys() throws Exception {
    int served = 0;
    for (int key = 0; key < KEY_COUNT; key++) {
      served += site.lookup(0, key * KEY_STEP).statusCode() == 200 ? 1 : 0;
    }
    return served;
  }

  private void awaitFirstRun() throws InterruptedException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (upstream.runs() == 0 && System.nanoTime() < deadlineNanos) {
      Thread.sleep(50);
    }
    assertThat(upstream.runs()).isPositive();
  }

  private void startFloodingUpstreamOnly() throws Exception {
    upstream = site.replacePooledWithFlooding(SLOTS);
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (upstream.runs() == 0 && System.nanoTime() < deadlineNanos) {
      site.order(0);
      Thread.sleep(50);
    }
    assertThat(upstream.runs()).isPositive();
  }

  /** Waits until {@code cuts} floods were cut and none is running; returns false on a timeout. */
  private boolean awaitClosedFloods(int cuts) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + CLOSE_TIMEOUT.toNanos();
    while (!floodsClosed(cuts) && System.nanoTime() < deadlineNanos) {
      Thread.sleep(20);
    }
    return floodsClosed(cuts);
  }

  private boolean floodsClosed(int cuts) {
    return upstream.cuts() >= cuts && upstream.floods() == 0;
  }
}
