package dev.hornbeamwheel.core.host.shares;

/** Limit on the requests that one host runs at one upstream without the coordinator. */
final class RunningLimit {
  /** Requests that an upstream is assumed to hold for each slot: one that runs and a queue. */
  private static final int HELD_PER_SLOT = 5;

  /** Limit as long as the hosts do not outnumber what an upstream holds, for bursts of keys. */
  private static final int MIN_OF_SMALL_FLEET = 2;

  private RunningLimit() {}

  /** Returns the limit, from one to the number of slots. */
  static int of(int slots, int fleetSize) {
    int held = HELD_PER_SLOT * slots;
    if (fleetSize > held) {
      return 1;
    }
    return Math.min(slots, Math.max(MIN_OF_SMALL_FLEET, held / Math.max(1, fleetSize)));
  }
}
