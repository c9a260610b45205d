package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamLife;
import java.util.HashMap;
import java.util.Map;

/** When upstreams last answered orders. */
final class UpstreamContact {
  /** An upstream that answers no order for so long may be lost, in milliseconds. */
  static final long SUSPECT_MILLIS = 1_500;

  /** Fewest unanswered orders before an upstream may be lost. */
  private static final int SUSPECT_FAILURES = 2;

  private static final class History {
    private long lastAnswerMillis;
    private int failures;
  }

  private final Map<UpstreamLife, History> histories = new HashMap<>();

  void asked(long nowMillis, UpstreamLife life) {
    histories.computeIfAbsent(
        life,
        key -> {
          History history = new History();
          history.lastAnswerMillis = nowMillis;
          return history;
        });
  }

  void answered(long nowMillis, UpstreamLife life) {
    History history = histories.computeIfAbsent(life, key -> new History());
    history.lastAnswerMillis = nowMillis;
    history.failures = 0;
  }

  void failed(UpstreamLife life) {
    History history = histories.get(life);
    if (history != null) {
      history.failures++;
    }
  }

  /** Returns whether the latest order got no answer. */
  boolean silent(UpstreamLife life) {
    History history = histories.get(life);
    return history != null && history.failures > 0;
  }

  boolean suspect(long nowMillis, UpstreamLife life) {
    History history = histories.get(life);
    return history != null
        && history.failures >= SUSPECT_FAILURES
        && nowMillis - history.lastAnswerMillis > SUSPECT_MILLIS;
  }

  void forgetAll() {
    histories.clear();
  }
}
