package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.config.ColdStart;
import java.util.ArrayDeque;
import java.util.Deque;

/** Admits no more requests a second than an upstream bears while it warms up. */
final class ColdStartGuard {
  private static final long WINDOW_MILLIS = 1000;
  private static final long NEVER = -1;

  private final ColdStart coldStart;
  private final Deque<Long> admitted = new ArrayDeque<>();
  private boolean warm;
  private long firstCompletionMillis = NEVER;

  ColdStartGuard(ColdStart coldStart, boolean warm) {
    this.coldStart = coldStart;
    this.warm = warm;
  }

  /** Returns whether one more request can be borne, and counts it if so. */
  boolean tryAdmit(long nowMillis) {
    if (warm) {
      return true;
    }
    while (!admitted.isEmpty() && admitted.peek() <= nowMillis - WINDOW_MILLIS) {
      admitted.remove();
    }
    if (admitted.size() >= Math.max(1, (int) bearablePerSecond(nowMillis))) {
      return false;
    }
    admitted.add(nowMillis);
    return true;
  }

  /** Records a completion; the first one starts the warm-up. */
  void completed(long nowMillis) {
    if (!warm && firstCompletionMillis == NEVER) {
      firstCompletionMillis = nowMillis;
    }
  }

  /** Makes the upstream cold again. */
  void turnCold() {
    warm = false;
    firstCompletionMillis = NEVER;
    admitted.clear();
  }

  private double bearablePerSecond(long nowMillis) {
    if (firstCompletionMillis == NEVER) {
      return coldStart.initialRatePerSecond();
    }
    long warmingMillis = nowMillis - firstCompletionMillis;
    if (warmingMillis >= coldStart.warmUpMillis()) {
      warm = true;
      return Integer.MAX_VALUE;
    }
    double part = (double) warmingMillis / coldStart.warmUpMillis();
    return coldStart.initialRatePerSecond()
        + part * (coldStart.fullRatePerSecond() - coldStart.initialRatePerSecond());
  }
}
