package dev.hornbeamwheel.core.ownership;

/**
 * Holds the timing of the ownership protocol; all controllers must use the same values.
 *
 * @param tickMillis expected interval between ticks
 * @param heartbeatMillis interval between heartbeats to the voters
 * @param leaderLeaseMillis validity of a voter's promise
 * @param renewalMillis interval between renewals of an upstream's lease
 * @param upstreamLeaseMillis validity of an upstream's lease
 * @param upstreamFailedMillis time without a reply after which an upstream is considered failed
 * @param yieldAfterMillis isolation after which a {@code YIELD} service stops serving
 * @param settleMillis time a membership change must last before the voters change
 * @param maxVoters maximum number of voters of a cell
 */
public record OwnershipOptions(
    long tickMillis,
    long heartbeatMillis,
    long leaderLeaseMillis,
    long renewalMillis,
    long upstreamLeaseMillis,
    long upstreamFailedMillis,
    long yieldAfterMillis,
    long settleMillis,
    int maxVoters) {
  /** Returns the options used in production. */
  public static OwnershipOptions standard() {
    return new OwnershipOptions(50, 250, 1000, 500, 2000, 1200, 3000, 2000, 5);
  }
}
