package dev.hornbeamwheel.core.host.shares;

/** Fractions of the throughput of a service that hosts without a coordinator may use. */
final class ShareRates {
  /**
   * Fraction for all hosts together. Each host chooses upstreams without knowledge of the others,
   * so that queues of 16 requests overflow at rates closer to the throughput.
   */
  static final double TOTAL_FRACTION = 0.85;

  /**
   * Fraction for the minimum shares of all hosts together. A greater one would take from hosts with
   * two or three times the mean demand what others do not use.
   */
  static final double MINIMUM_FRACTION = 0.4;

  private ShareRates() {}

  /** Checks a rate that may come from a message; rejects all but numbers from zero. */
  static void check(double perSecond) {
    if (!(perSecond >= 0 && perSecond <= Double.MAX_VALUE)) {
      throw new IllegalArgumentException("not a rate: " + perSecond);
    }
  }

  /** Returns the rate of all hosts together, in requests per second. */
  static double total(double throughputPerSecond) {
    return TOTAL_FRACTION * throughputPerSecond;
  }

  /** Returns the minimum share of one host, in requests per second. */
  static double minimum(double throughputPerSecond, int fleetSize) {
    return MINIMUM_FRACTION * throughputPerSecond / Math.max(1, fleetSize);
  }
}
