package dev.hornbeamwheel.core.dispatch;

/** Scores the upstreams that have a free slot; the lowest score is chosen. */
@FunctionalInterface
interface UpstreamScore {
  /** Factor on a cold upstream's score; below one, so that it gets requests and warms up. */
  double COLD_SCORE_FACTOR = 0.5;

  /** Returns the score of an upstream; lower is better. */
  double score(UpstreamSlots upstream, long nowMillis);

  /** Returns a score that grows with the expected run time and the share of slots leased. */
  static UpstreamScore byExpectedRunTime() {
    return (upstream, now) ->
        Math.max(upstream.expectedRunMillis(now), (double) upstream.oldestRunMillis(now))
            * (1 + upstream.leasedFraction())
            * (upstream.rateLimiter.warm() ? 1 : COLD_SCORE_FACTOR);
  }
}
