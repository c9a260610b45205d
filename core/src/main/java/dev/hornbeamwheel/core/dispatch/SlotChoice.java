package dev.hornbeamwheel.core.dispatch;

/** Chooses among upstreams with a free slot; the least score is taken. */
@FunctionalInterface
interface SlotChoice {
  /** Returns how bad a choice an upstream is at a time. */
  double score(UpstreamSlots upstream, long nowMillis);

  /** Prefers upstreams by the time that a request is expected to take on them. */
  static SlotChoice fastestExpected() {
    return (upstream, now) ->
        Math.max(upstream.expectedRunMillis(now), (double) upstream.oldestRunMillis(now))
            * (1 + upstream.busyShare());
  }
}
