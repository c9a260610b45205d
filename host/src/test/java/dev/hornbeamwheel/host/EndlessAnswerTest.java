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

/** Answers of upstreams that do not end: callers are told in time, and the upstream is cut off. */
final class EndlessAnswerTest {
  private static final Duration START = Duration.ofSeconds(20);

  /** Time in which a cut connection is noticed by the other side. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  /** The longest answer that is read, and what two sockets hold, in bytes. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  /** The longest hold of keys, and time for the keys to move there and back. */
  private static final Duration HOLD_TIMEOUT = Duration.ofSeconds(40);

  private static final int KEY_COUNT = 65;
  private static final int KEY_STEP = 1_009;
  private static final int SLOTS = 2;

  private SiteFixture site;
  private FloodingStandin upstream;

  @BeforeEach
  void start() throws Exception {
    site = new SiteFixture(1);
    assertThat(site.awaitServing(0, START)).isTrue();
  }

  @AfterEach
  void stop() throws IOException {
    site.close();
    upstream.close();
  }

  /** Guards against answers that are read until the deadline, or until the memory is full. */
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

    HttpResponse<String> answer = site.order(0);

    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(answer.body()).isEmpty();
    assertThat(upstream.runs()).isEqualTo(before + 1);
    assertThat(awaitClosedFloods(1)).isTrue();
    assertThat(upstream.sentBytes()).isLessThan(MAX_SENT_BYTES);
    assertThat(site.lookup(0, 17).statusCode()).isEqualTo(200);
  }

  /** Guards against answers that are taken from, or requests that are sent into, such bytes. */
  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      names = {"AFTER_ANSWER", "ON_IDLE_CONNECTION"})
  void bytesAfterResponseCloseConnectionWithoutFailingRequests(Flood flood) throws Exception {
    startFloodingUpstreamOnly();
    upstream.flood(flood);

    for (int i = 0; i < 4; i++) {
      HttpResponse<String> answer = site.order(0);
      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.body()).isEqualTo("booked");
      assertThat(awaitClosedFloods(i + 1)).isTrue();
    }
    assertThat(upstream.sentBytes()).isLessThan(4 * MAX_SENT_BYTES);
  }

  /** Guards against a failure where another upstream could have answered. */
  @Test
  void safeRequestWithEndlessResponseIsRetriedElsewhere() throws Exception {
    site.store.put(
        "op",
        "config",
        SiteCaller.CONFIGURATION.replace("r7", "r9").replace("\"unsafe\"", "\"safe\""));
    upstream = site.addFloodingUpstream("desk", SLOTS);
    site.drainPooledUpstream(0);
    upstream.flood(Flood.UNFRAMED_BODY);

    long until = System.nanoTime() + START.toNanos();
    while (upstream.runs() == 0 && System.nanoTime() < until) {
      HttpResponse<String> answer = site.order(0);
      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.body()).contains("served");
    }
    assertThat(upstream.runs()).isPositive();
  }

  /** Guards against keys that stay with an upstream which cannot be told to serve them. */
  @Test
  void keysMoveFromUpstreamWithEndlessGrantResponsesAfterHoldsExpire() throws Exception {
    upstream = site.addFloodingUpstream("ledger", SLOTS);
    upstream.flood(Flood.UNFRAMED_BODY);
    awaitFirstRun();

    long until = System.nanoTime() + HOLD_TIMEOUT.toNanos();
    while (servedKeys() < KEY_COUNT && System.nanoTime() < until) {
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
    long until = System.nanoTime() + START.toNanos();
    while (upstream.runs() == 0 && System.nanoTime() < until) {
      Thread.sleep(50);
    }
    assertThat(upstream.runs()).isPositive();
  }

  private void startFloodingUpstreamOnly() throws Exception {
    upstream = site.replacePooledWithFlooding(SLOTS);
    long until = System.nanoTime() + START.toNanos();
    while (upstream.runs() == 0 && System.nanoTime() < until) {
      site.order(0);
      Thread.sleep(50);
    }
    assertThat(upstream.runs()).isPositive();
  }

  /** Waits until so many floods have been cut and none goes on; returns whether that is so. */
  private boolean awaitClosedFloods(int cuts) throws InterruptedException {
    long until = System.nanoTime() + CLOSE_TIMEOUT.toNanos();
    while (!floodsClosed(cuts) && System.nanoTime() < until) {
      Thread.sleep(20);
    }
    return floodsClosed(cuts);
  }

  private boolean floodsClosed(int cuts) {
    return upstream.cuts() >= cuts && upstream.floods() == 0;
  }
}
