package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Term;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One controller's election for a term, and its leader lease once a majority has promised. */
final class Election {
  private final Term term;
  private final CellRow row;
  private final long startedAt;
  private final Map<Voter, Long> latestPromiseSentAt = new HashMap<>();
  private final Map<Voter, Long> storedVersions = new HashMap<>();
  private long lastHeartbeatAt = Long.MIN_VALUE;

  Election(Term term, CellRow row, long startedAt) {
    this.term = term;
    this.row = row;
    this.startedAt = startedAt;
  }

  Term term() {
    return term;
  }

  long startedAt() {
    return startedAt;
  }

  List<Voter> voters() {
    return row.voters();
  }

  /** Returns whether a heartbeat is due; if so, records it as sent. */
  boolean markHeartbeatIfDue(long now, long intervalMillis) {
    if (lastHeartbeatAt != Long.MIN_VALUE && now - lastHeartbeatAt < intervalMillis) {
      return false;
    }
    lastHeartbeatAt = now;
    return true;
  }

  /**
   * Records a promise; the lease counts from when the request was sent, by this controller's clock.
   */
  void recordPromise(Voter voter, long sentAt, long rowVersion) {
    latestPromiseSentAt.merge(voter, sentAt, Math::max);
    recordStored(voter, rowVersion);
  }

  /** Records that a voter has stored a row version in this term. */
  void recordStored(Voter voter, long version) {
    storedVersions.merge(voter, version, Math::max);
  }

  /** Returns whether the leader lease is valid at the given time of this controller's clock. */
  boolean leaseValid(long now, OwnershipOptions options) {
    return majorityPromisedWithin(row.voters(), now, options.leaderLeaseMillis());
  }

  /**
   * Returns whether a majority of the witnesses promised recently enough that a {@code YIELD}
   * service may keep serving.
   */
  boolean witnessLeaseValid(long now, OwnershipOptions options) {
    return !row.witnesses().isEmpty()
        && majorityPromisedWithin(row.witnesses(), now, options.yieldAfterMillis());
  }

  private boolean majorityPromisedWithin(List<Voter> group, long now, long leaseMillis) {
    long sentAt = majorityValue(group, latestPromiseSentAt, Long.MIN_VALUE);
    return sentAt != Long.MIN_VALUE && now < sentAt + ClockDrift.minElapsed(leaseMillis);
  }

  /** Returns the row version that a majority of the voters has stored in this term. */
  long majorityVersion() {
    return majorityValue(row.voters(), storedVersions, 0);
  }

  private static long majorityValue(List<Voter> group, Map<Voter, Long> values, long absent) {
    List<Long> sorted =
        group.stream()
            .map(voter -> values.getOrDefault(voter, absent))
            .sorted(Collections.reverseOrder())
            .toList();
    return sorted.get(sorted.size() / 2);
  }
}
