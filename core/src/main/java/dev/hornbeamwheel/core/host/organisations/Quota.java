package dev.hornbeamwheel.core.host.organisations;

/**
 * Limit on the requests of an organisation over all hosts together.
 *
 * @param ratePerSecond requests per second; zero if there is no limit
 * @param burst requests that may exceed the rate for a moment
 */
public record Quota(double ratePerSecond, double burst) {
  private static final Quota UNLIMITED = new Quota(0, 0);
  private static final double WINDOW_SECONDS = 5;

  /** Greatest rate, in requests per second, and greatest burst, in requests. */
  private static final double MAX = 1_000_000;

  /** Rejects numbers that are negative or too large; hosts keep a token for each request. */
  public Quota {
    if (!(isAmount(ratePerSecond) && isAmount(burst))) {
      throw new IllegalArgumentException("quota is not a number from 0 to " + (long) MAX);
    }
  }

  private static boolean isAmount(double value) {
    return value >= 0 && value <= MAX;
  }

  /** Returns the quota of an organisation without a limit. */
  public static Quota unlimited() {
    return UNLIMITED;
  }

  /** Returns whether there is a limit. */
  public boolean limited() {
    return ratePerSecond > 0;
  }

  /** Returns the requests that the quota allows in the window of five seconds of its bound. */
  public double requestsPerWindow() {
    return ratePerSecond * WINDOW_SECONDS + burst;
  }
}
