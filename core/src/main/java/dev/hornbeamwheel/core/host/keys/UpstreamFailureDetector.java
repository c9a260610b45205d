package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import java.util.HashMap;
import java.util.Map;

/** When upstreams last answered orders. */
final class UpstreamFailureDetector {
  /** An upstream that answers no order for so long may be lost, in milliseconds. */
  static final long SUSPECT_AFTER_MILLIS = 1_500;

  /** Fewest unanswered orders before an upstream may be lost. */
  private static final int MIN_FAILURES_TO_SUSPECT = 2;

  private static final class History {
    private long lastAnswerMillis;
    private int failures;
  }

  private final Map<UpstreamIncarnation, History> histories = new HashMap<>();

  void orderSent(long nowMillis, UpstreamIncarnation life) {
    histories.computeIfAbsent(
        life,
        key -> {
          History history = new History();
          history.lastAnswerMillis = nowMillis;
          return history;
        });
  }

  void orderAnswered(long nowMillis, UpstreamIncarnation life) {
    History history = histories.computeIfAbsent(life, key -> new History());
    history.lastAnswerMillis = nowMillis;
    history.failures = 0;
  }

  void orderFailed(UpstreamIncarnation life) {
    History history = histories.get(life);
    if (history != null) {
      history.failures++;
    }
  }

  /** Returns whether the latest order got no answer. */
  boolean failedSinceLastAnswer(UpstreamIncarnation life) {
    History history = histories.get(life);
    return history != null && history.failures > 0;
  }

  boolean suspected(long nowMillis, UpstreamIncarnation life) {
    History history = histories.get(life);
    return history != null
        && history.failures >= MIN_FAILURES_TO_SUSPECT
        && nowMillis - history.lastAnswerMillis > SUSPECT_AFTER_MILLIS;
  }

  void clear() {
    histories.clear();
  }
}
