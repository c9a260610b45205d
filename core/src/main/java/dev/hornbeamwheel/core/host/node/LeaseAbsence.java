package dev.hornbeamwheel.core.host.node;

/** Tracks for how long a coordinator has been without its lease, and so can't hand over keys. */
final class LeaseAbsence {
  private static final long HELD = Long.MAX_VALUE;

  private long sinceMillis = HELD;

  /** Records whether the lease is held. */
  void update(long nowMillis, boolean held) {
    sinceMillis = held ? HELD : Math.min(sinceMillis, nowMillis);
  }

  /**
   * Estimates when a coordinator can send orders again; {@code nowMillis} if this one can. An
   * absence is expected to last as long again as it has lasted.
   */
  long ordersResumeMillis(long nowMillis) {
    return sinceMillis == HELD ? nowMillis : nowMillis + (nowMillis - sinceMillis);
  }
}
