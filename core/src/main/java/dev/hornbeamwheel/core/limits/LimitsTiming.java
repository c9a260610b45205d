package dev.hornbeamwheel.core.limits;

/** Periods, timeouts and margins of the contract limits. */
final class LimitsTiming {
  /** Validity of a share, in milliseconds of the router's clock from when it asked. */
  static final long LEASE_MILLIS = 2000;

  /** Time after which the arbiter counts a lease as lapsed, in milliseconds of its own clock. */
  static final long SURELY_LAPSED_MILLIS = LEASE_MILLIS * 103 / 100 + 2;

  /** Time between two requests of a router to the same arbiter, in milliseconds. */
  static final long RENEW_MILLIS = 400;

  /** Least time between two requests when a caller waits for a share, in milliseconds. */
  static final long URGENT_MILLIS = 20;

  /** Least time between two requests after an answer that granted nothing, in milliseconds. */
  static final long REFUSED_MILLIS = 200;

  /** Time without callers after which a router gives its share back, in milliseconds. */
  static final long IDLE_MILLIS = 2000;

  /** Time over which the offered rate is measured, in milliseconds. */
  static final long SAMPLE_MILLIS = 200;

  /** Time between two readings of the row of a group, in milliseconds. */
  static final long ROW_MILLIS = 1000;

  /** Time between two computations of the targets of a contract, in milliseconds. */
  static final long TARGET_MILLIS = 100;

  /** Time between two searches for lapsed leases, in milliseconds. */
  static final long EXPIRY_MILLIS = 50;

  /** Part of a rate that a router uses, in thousandths; the rest pays for drifting clocks. */
  static final long USED_RATE_MILLI = 985;

  /** Wait advised to callers that meet no share, in milliseconds. */
  static final long NO_SHARE_RETRY_MILLIS = 100;

  /** Wait advised to callers beyond the concurrency, in milliseconds. */
  static final long CONCURRENCY_RETRY_MILLIS = 50;

  private LimitsTiming() {}
}
