package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import java.util.HashMap;
import java.util.Map;

/** Detects upstreams that may be lost, by their answers to orders. */
final class UpstreamFailureDetector {
  /** Time without an answer after which an upstream may be suspected, in milliseconds. */
  static final long SUSPECT_AFTER_MILLIS = 1_500;

  /** Minimum number of failed orders since the last answer before an upstream is suspected. */
  private static final int MIN_FAILURES_TO_SUSPECT = 2;

  private static final class History {
    private long lastAnswerMillis;
    private int failures;
  }

  private final Map<UpstreamIncarnation, History> histories = new HashMap<>();

  /** Records that an order was sent; the first one starts the time without an answer. */
  void orderSent(long nowMillis, UpstreamIncarnation incarnation) {
    histories.computeIfAbsent(
        incarnation,
        key -> {
          History history = new History();
          history.lastAnswerMillis = nowMillis;
          return history;
        });
  }

  /** Records that an order was carried out, which clears all failures. */
  void orderAnswered(long nowMillis, UpstreamIncarnation incarnation) {
    History history = histories.computeIfAbsent(incarnation, key -> new History());
    history.lastAnswerMillis = nowMillis;
    history.failures = 0;
  }

  /** Records that an order was refused, not sent or not answered. */
  void orderFailed(UpstreamIncarnation incarnation) {
    History history = histories.get(incarnation);
    if (history != null) {
      history.failures++;
    }
  }

  /** Returns whether an order has failed since the last answer. */
  boolean failedSinceLastAnswer(UpstreamIncarnation incarnation) {
    History history = histories.get(incarnation);
    return history != null && history.failures > 0;
  }

  /**
   * Returns whether an upstream may be lost: orders keep failing and no recent one was answered.
   */
  boolean suspected(long nowMillis, UpstreamIncarnation incarnation) {
    History history = histories.get(incarnation);
    return history != null
        && history.failures >= MIN_FAILURES_TO_SUSPECT
        && nowMillis - history.lastAnswerMillis > SUSPECT_AFTER_MILLIS;
  }

  /** Removes the records of all upstreams. */
  void clear() {
    histories.clear();
  }
}
