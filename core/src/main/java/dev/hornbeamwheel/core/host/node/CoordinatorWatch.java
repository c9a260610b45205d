package dev.hornbeamwheel.core.host.node;

/**
 * Decides whether a host may rely on the coordinator for changes of the store's tables.
 *
 * <p>That is so while the coordinator reports often that it holds the lease, which it renews in the
 * same store.
 */
final class CoordinatorWatch {
  /** Time without a report after which a host reads the store itself, in milliseconds. */
  static final long SILENCE_MILLIS = 700;

  private boolean reliable;

  /** Returns whether the host may rely on the coordinator. */
  boolean reliable() {
    return reliable;
  }

  /**
   * Updates the decision; returns whether it has changed.
   *
   * @param connected whether the host is connected to a coordinator other than itself
   * @param lastLeaseHeldMillis time of the last report that the coordinator holds the lease
   */
  boolean update(long nowMillis, boolean connected, long lastLeaseHeldMillis) {
    boolean before = reliable;
    reliable = connected && nowMillis - lastLeaseHeldMillis <= SILENCE_MILLIS;
    return reliable != before;
  }
}
