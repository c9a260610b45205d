package dev.hornbeamwheel.core.routing;

/** Bounds extra attempts to a share of the requests. */
final class RetryBudget {
  private final double tokensPerRequest;
  private final double maxTokens;
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
    this.tokensPerRequest = share;
    this.maxTokens = most;
    this.tokens = most;
  }

  void deposit() {
    tokens = Math.min(maxTokens, tokens + tokensPerRequest);
  }

  /** Takes one extra attempt and returns whether there was one left. */
  boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
