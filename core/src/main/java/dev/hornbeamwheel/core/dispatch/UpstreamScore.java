package dev.hornbeamwheel.core.dispatch;

/** Chooses among upstreams with a free slot; the least score is taken. */
@FunctionalInterface
interface UpstreamScore {
  /** Factor by which a cold upstream that may be sent a request is preferred, so it warms up. */
  double COLD_SCORE_FACTOR = 0.5;

  /** Returns how bad a choice an upstream is at a time. */
  double score(UpstreamSlots upstream, long nowMillis);

  /** Prefers upstreams by the time that a request is expected to take on them. */
  static UpstreamScore byExpectedRunTime() {
    return (upstream, now) ->
        Math.max(upstream.expectedRunMillis(now), (double) upstream.oldestRunMillis(now))
            * (1 + upstream.leasedFraction())
            * (upstream.rateLimiter.warm() ? 1 : COLD_SCORE_FACTOR);
  }
}
