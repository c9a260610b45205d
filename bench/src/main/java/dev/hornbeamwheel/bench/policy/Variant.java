package dev.hornbeamwheel.bench.policy;

/** A way of choosing upstreams that is measured. */
interface Variant {
  /** Takes a request that arrived at a router; {@code done} is told whether it was answered. */
  void request(int router, Runnable answered, Runnable refused);

  /** Loses the process that dispatches, if there is one. */
  void loseDispatcher();

  /** Returns the messages sent for control so far. */
  long messages();
}
