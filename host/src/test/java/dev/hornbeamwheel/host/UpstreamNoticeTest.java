package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin;
import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin.Behaviour;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What upstreams say of themselves in their answers is obeyed, over real connections. */
final class UpstreamNoticeTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final int KEY = 17;
  private static final int CALLERS = 8;
  private static final int WAITING = 64;

  /** Time after the first answer that says so in which a leaving upstream may get requests. */
  private static final long DRAIN_MILLIS = 2_000;

  /** Time for which requests that were on their way when an upstream refused may arrive. */
  private static final long ON_THE_WAY_MILLIS = 500;

  private static final long RETRY_AFTER_MILLIS = 1_500;
  private static final int MAX_LATE_ARRIVALS = 2;

  private final ExecutorService callers = Executors.newFixedThreadPool(WAITING);

  /** Calls again and again for a time, about 200 times a second in all; returns the statuses. */
  private List<Integer> callFor(long millis, Callable<Integer> call) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    List<Future<List<Integer>>> results = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      results.add(
          callers.submit(
              () -> {
                List<Integer> statuses = new ArrayList<>();
                while (System.nanoTime() < end) {
                  statuses.add(call.call());
                  Thread.sleep(40);
                }
                return statuses;
              }));
    }
    List<Integer> statuses = new ArrayList<>();
    for (Future<List<Integer>> result : results) {
      statuses.addAll(result.get());
    }
    return statuses;
  }

  private static void assertNothingLaterThanDrain(KeyedUpstreamStandin upstream, long sinceNanos) {
    long end = sinceNanos + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
    assertThat(upstream.arrivalNanos()).noneMatch(arrival -> arrival > end);
  }

  // Guards against requests at an upstream that leaves and whose registration never says so.
  @Test
  void aLeavingUpstreamGetsNothingAfterTheDrainTime() throws Exception {
    try (SiteFixture site = new SiteFixture(1)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      site.desk.get(0).announceLeaving();
      long since = System.nanoTime();

      List<Integer> statuses = callFor(4_000, () -> site.order(0).statusCode());

      assertNothingLaterThanDrain(site.desk.get(0), since);
      assertThat(statuses).hasSizeGreaterThan(200).containsOnly(200);
    }
  }

  // Guards against requests that follow their key to an owner that leaves and keeps its keys.
  @Test
  void theKeysOfALeavingOwnerMoveWithinTheDrainTime() throws Exception {
    try (SiteFixture site = new SiteFixture(2)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      assertThat(site.awaitServing(1, START_TIMEOUT)).isTrue();
      KeyedUpstreamStandin owner =
          site.ledger.stream().filter(upstream -> upstream.holds(KEY)).findFirst().orElseThrow();
      owner.announceLeaving();
      long since = System.nanoTime();

      List<Integer> statuses = callFor(4_000, () -> site.lookup(1, KEY).statusCode());

      assertNothingLaterThanDrain(owner, since);
      assertThat(owner.holds(KEY)).isFalse();
      assertThat(statuses).contains(200).last().isEqualTo(200);
    }
  }

  // Guards against a coordinator that takes the knowledge of leaving upstreams with it.
  @Test
  void aLeavingUpstreamGetsNothingThoughTheCoordinatorEnds() throws Exception {
    try (SiteFixture site = new SiteFixture(2)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      assertThat(site.awaitServing(1, START_TIMEOUT)).isTrue();
      site.desk.get(0).announceLeaving();
      long since = System.nanoTime();
      callFor(500, () -> site.order(1).statusCode());
      site.stopHost(0);

      callFor(4_000, () -> site.order(1).statusCode());

      assertNothingLaterThanDrain(site.desk.get(0), since);
    }
  }

  // Guards against requests at an upstream that asked for none for a time, from many that wait.
  @Test
  void anUpstreamThatAsksForNoRequestsGetsNoneForThatTime() throws Exception {
    try (SiteFixture site = new SiteFixture(1)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      KeyedUpstreamStandin closed = site.desk.get(0);
      site.desk.get(1).runFor(200);
      closed.behave(Behaviour.SHED);
      closed.shedWithRetryAfter("1.5");
      int before = closed.arrivalNanos().size();

      List<Future<Integer>> answers = new ArrayList<>();
      for (int i = 0; i < WAITING; i++) {
        answers.add(callers.submit(() -> site.order(0).statusCode()));
      }
      for (Future<Integer> answer : answers) {
        answer.get();
      }
      callFor(RETRY_AFTER_MILLIS, () -> site.order(0).statusCode());

      List<Long> arrivals = closed.arrivalNanos();
      assertThat(arrivals).hasSizeGreaterThan(before);
      long first = arrivals.get(before);
      long begin = first + TimeUnit.MILLISECONDS.toNanos(ON_THE_WAY_MILLIS);
      long end = first + TimeUnit.MILLISECONDS.toNanos(RETRY_AFTER_MILLIS);
      assertThat(arrivals.stream().filter(arrival -> arrival > begin && arrival < end).count())
          .isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
    }
  }

  // Guards against requests that wait in vain for the owner of their key, or go to it all the same.
  @Test
  void anOwnerThatAsksForNoRequestsLeavesItsCallersToComeBackLater() throws Exception {
    try (SiteFixture site = new SiteFixture(1)) {
      assertThat(site.awaitServing(0, START_TIMEOUT)).isTrue();
      KeyedUpstreamStandin owner =
          site.ledger.stream().filter(upstream -> upstream.holds(KEY)).findFirst().orElseThrow();
      owner.behave(Behaviour.SHED);
      owner.shedWithRetryAfter("5");
      site.lookup(0, KEY);
      int before = owner.arrivalNanos().size();

      var response = site.lookup(0, KEY);

      assertThat(response.statusCode()).isEqualTo(503);
      double retryAfter =
          Double.parseDouble(response.headers().firstValue("Retry-After").orElseThrow());
      assertThat(retryAfter).isBetween(3.0, 5.0);
      assertThat(owner.arrivalNanos()).hasSize(before);
    }
  }
}
