package dev.hornbeamwheel.core.routing;

/** Limits retries or hedges to a fraction of the requests, by a token bucket. */
final class RetryBudget {
  private final double tokensPerRequest;
  private final double maxTokens;
  private double tokens;

  /**
   * Returns a full budget.
   *
   * @param tokensPerRequest tokens that each request adds; an extra attempt costs one token
   * @param maxTokens capacity of the bucket, which is also its initial content
   */
  static RetryBudget of(double tokensPerRequest, double maxTokens) {
    return new RetryBudget(tokensPerRequest, maxTokens);
  }

  private RetryBudget(double tokensPerRequest, double maxTokens) {
    this.tokensPerRequest = tokensPerRequest;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
  }

  void deposit() {
    tokens = Math.min(maxTokens, tokens + tokensPerRequest);
  }

  /** Withdraws the token of one extra attempt and returns whether one was available. */
  boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
