package dev.hornbeamwheel.core.host.fairness;

/**
 * Compares the upstreams with a free slot in the caller's data centre with those elsewhere.
 *
 * <p>An upstream of the same data centre is preferred while it answers in time; then one elsewhere
 * that does; if none does, the one with the shortest run time, with a small cost of distance. No
 * request waits for a local slot while another one is free.
 */
public final class LocalPreference {
  private LocalPreference() {}

  /**
   * Returns the cost of an upstream, in milliseconds; the lowest is preferred.
   *
   * @param runMillis expected time until its response
   * @param local whether it is in the data centre of the caller
   * @param distanceMillis cost of the way to another data centre
   * @param slackMillis time until the latency target
   */
  public static double cost(
      double runMillis, boolean local, double distanceMillis, long slackMillis) {
    double responseMillis = runMillis + (local ? 0 : distanceMillis);
    if (responseMillis > slackMillis) {
      // Twice the slack is above the cost of all that answer in time.
      return 2.0 * Math.max(0, slackMillis) + responseMillis;
    }
    return local ? responseMillis : slackMillis + responseMillis;
  }
}
