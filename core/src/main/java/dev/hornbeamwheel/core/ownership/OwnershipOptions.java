package dev.hornbeamwheel.core.ownership;

/**
 * Durations of the protocol, in milliseconds; all controllers must use the same.
 *
 * @param tickMillis expected time between ticks
 * @param heartbeatMillis time between heartbeats to voters
 * @param leaderLeaseMillis life of a voter's promise
 * @param renewalMillis time between renewals of an upstream's lease
 * @param upstreamLeaseMillis life of an upstream's lease
 * @param upstreamFailedMillis silence after which an upstream counts as failed
 * @param yieldAfterMillis isolation after which a service that yields stops
 * @param settleMillis time for which a change of the members must last before voters follow it
 * @param maxVoters number of voters of a cell at most
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
  /** Returns the durations that are used in service. */
  public static OwnershipOptions standard() {
    return new OwnershipOptions(50, 250, 1000, 500, 2000, 1200, 3000, 2000, 5);
  }
}
