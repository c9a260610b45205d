package dev.hornbeamwheel.standins.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/** The load of an upstream as it was some time ago. */
final class LaggingLoad {
  private final long lagMillis;
  private final Deque<Sample> samples = new ArrayDeque<>();

  LaggingLoad(long lagMillis) {
    this.lagMillis = lagMillis;
  }

  /** The load at one time. */
  record Sample(long atMillis, int running, int queued, boolean draining) {}

  void record(long nowMillis, int running, int queued, boolean draining) {
    samples.add(new Sample(nowMillis, running, queued, draining));
    dropOld(nowMillis);
  }

  /** Returns the load as it was one lag ago. */
  Sample read(long nowMillis) {
    dropOld(nowMillis);
    Sample oldest = samples.peek();
    return oldest == null || oldest.atMillis() > nowMillis - lagMillis
        ? new Sample(nowMillis - lagMillis, 0, 0, false)
        : oldest;
  }

  /** Keeps one sample that is older than the lag, and all later ones. */
  private void dropOld(long nowMillis) {
    while (samples.size() > 1) {
      Sample oldest = samples.remove();
      if (samples.peek().atMillis() > nowMillis - lagMillis) {
        samples.addFirst(oldest);
        return;
      }
    }
  }
}
