package dev.hornbeamwheel.core.host.cold;

/** Keeps a minimum interval between the requests to one upstream. */
public final class Pacer {
  private double nextMillis;

  private Pacer(double nextMillis) {
    this.nextMillis = nextMillis;
  }

  /** Returns a pacer that allows the first request at a time, in milliseconds. */
  public static Pacer startingAt(double millis) {
    return new Pacer(millis);
  }

  /** Returns whether a request may be sent now. */
  public boolean ready(long nowMillis) {
    return nowMillis >= nextMillis;
  }

  /**
   * Records a request. One that was sent before it was its turn delays the next one accordingly.
   *
   * @param intervalMillis minimum time until the next request, in milliseconds
   */
  public void record(long nowMillis, double intervalMillis) {
    nextMillis = Math.max(nextMillis, (double) nowMillis) + intervalMillis;
  }
}
