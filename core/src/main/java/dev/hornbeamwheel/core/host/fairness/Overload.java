package dev.hornbeamwheel.core.host.fairness;

/**
 * Whether a queue is overloaded: a request that arrived with enough time for its latency target is
 * expected to miss it because of the requests ahead.
 *
 * <p>The state lasts for the latency target of that request, since the requests which have caused
 * it wait for about as long.
 */
public final class Overload {
  private long untilMillis = Long.MIN_VALUE;

  /** Records that a request is expected to miss its target, which is so long after its arrival. */
  public void record(long nowMillis, long targetMillis) {
    untilMillis = Math.max(untilMillis, nowMillis + targetMillis);
  }

  /** Returns whether the queue is overloaded at a time. */
  public boolean active(long nowMillis) {
    return nowMillis < untilMillis;
  }
}
