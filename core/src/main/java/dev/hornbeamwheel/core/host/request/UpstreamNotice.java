package dev.hornbeamwheel.core.host.request;

/**
 * What an upstream said of itself in a response.
 *
 * @param leaving whether it leaves, so that it wants no further requests
 * @param retryAfterMillis time for which it wants no requests of this host, in milliseconds; zero
 *     if it did not say so
 * @param ignored what it said that can't be understood; empty if there is nothing
 */
public record UpstreamNotice(boolean leaving, long retryAfterMillis, String ignored) {
  /** Says nothing. */
  public static final UpstreamNotice NONE = new UpstreamNotice(false, 0, "");
}
