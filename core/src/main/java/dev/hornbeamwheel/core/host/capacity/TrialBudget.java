package dev.hornbeamwheel.core.host.capacity;

/**
 * Bounds the number of upstreams of one service that try a lower limit at the same time, since a
 * whole service that becomes slower at once would otherwise lose half of its slots.
 *
 * <p>The bound is halved by each trial that fails and doubled by each that succeeds: trials that
 * fail show that the slowness has another cause. Trials that only renew an old reference do not
 * count; one upstream makes one at a time.
 */
public final class TrialBudget {
  /** At most one in this number of upstreams tries a lower limit at a time. */
  private static final int UPSTREAMS_PER_TRIAL = 4;

  private int upstreams;
  private int running;
  private boolean renewing;
  private int bound = Integer.MAX_VALUE;

  /** Returns the budget of a service without upstreams, which permits one trial. */
  public static TrialBudget create() {
    return new TrialBudget();
  }

  private TrialBudget() {}

  /** Adds an upstream. */
  public void addUpstream() {
    upstreams++;
  }

  /** Removes an upstream. */
  public void removeUpstream() {
    upstreams--;
  }

  /** Starts a trial if the budget permits it; returns whether it does. */
  boolean start() {
    bound = Math.min(bound, maxBound());
    boolean permitted = running < bound;
    running += permitted ? 1 : 0;
    return permitted;
  }

  /** Starts a trial that renews a reference, if no other upstream does; returns whether it does. */
  boolean startRenewal() {
    boolean permitted = !renewing;
    renewing = true;
    return permitted;
  }

  /** Ends a trial. */
  void end() {
    running--;
  }

  /** Ends a trial that renews a reference. */
  void endRenewal() {
    renewing = false;
  }

  /** Records the result of a trial that did not only renew a reference. */
  void recordResult(boolean success) {
    bound = success ? Math.min(maxBound(), 2 * bound) : Math.max(1, bound / 2);
  }

  private int maxBound() {
    return Math.max(1, upstreams / UPSTREAMS_PER_TRIAL);
  }
}
