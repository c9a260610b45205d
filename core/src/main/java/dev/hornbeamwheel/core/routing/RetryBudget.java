package dev.hornbeamwheel.core.routing;

/** Bounds extra attempts to a share of the requests. */
final class RetryBudget {
  private final double share;
  private final double most;
  private double tokens;

  /**
   * Returns a budget.
   *
   * @param share extra attempts that each request earns
   * @param most extra attempts that can be saved up; also available at the start
   */
  static RetryBudget of(double share, double most) {
    return new RetryBudget(share, most);
  }

  private RetryBudget(double share, double most) {
    this.share = share;
    this.most = most;
    this.tokens = most;
  }

  void earn() {
    tokens = Math.min(most, tokens + share);
  }

  /** Takes one extra attempt and returns whether there was one left. */
  boolean take() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
