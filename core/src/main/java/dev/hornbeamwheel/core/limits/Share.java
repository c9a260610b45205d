package dev.hornbeamwheel.core.limits;

/**
 * Part of a contract's limits.
 *
 * @param milliRate thousandths of a request a second
 * @param burst requests admitted at once beyond the rate
 * @param concurrency requests in flight at once
 */
public record Share(long milliRate, long burst, int concurrency) {
  /** Nothing. */
  public static final Share NONE = new Share(0, 0, 0);

  /** Thousandths in one. */
  static final long MILLI = 1000;

  /** Returns the whole of a contract. */
  public static Share of(long ratePerSecond, long burst, int concurrency) {
    return new Share(ratePerSecond * MILLI, burst, concurrency);
  }

  /** Returns the sum with another share. */
  public Share plus(Share other) {
    return new Share(
        milliRate + other.milliRate, burst + other.burst, concurrency + other.concurrency);
  }

  /** Returns what is left without another share, at least nothing. */
  public Share minus(Share other) {
    return new Share(
        Math.max(0, milliRate - other.milliRate),
        Math.max(0, burst - other.burst),
        Math.max(0, concurrency - other.concurrency));
  }

  /** Returns the smaller of each number. */
  public Share min(Share other) {
    return new Share(
        Math.min(milliRate, other.milliRate),
        Math.min(burst, other.burst),
        Math.min(concurrency, other.concurrency));
  }

  /** Returns the greater of each number. */
  public Share max(Share other) {
    return new Share(
        Math.max(milliRate, other.milliRate),
        Math.max(burst, other.burst),
        Math.max(concurrency, other.concurrency));
  }

  /** Returns whether no number is greater than the other share's. */
  public boolean fitsIn(Share other) {
    return milliRate <= other.milliRate && burst <= other.burst && concurrency <= other.concurrency;
  }

  /** Returns whether this is nothing. */
  public boolean isNone() {
    return milliRate == 0 && burst == 0 && concurrency == 0;
  }
}
