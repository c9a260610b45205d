package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Term;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One controller's candidacy for a term, and its lease of the leadership once a majority promised.
 */
final class Election {
  private final Term term;
  private final CellRow row;
  private final long startedAt;
  private final Map<Voter, Long> promisedAt = new HashMap<>();
  private final Map<Voter, Long> storedVersion = new HashMap<>();
  private long heartbeatAt = Long.MIN_VALUE;

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

  /** Returns whether a heartbeat is due, and notes that it is sent. */
  boolean takeHeartbeat(long now, long intervalMillis) {
    if (heartbeatAt != Long.MIN_VALUE && now - heartbeatAt < intervalMillis) {
      return false;
    }
    heartbeatAt = now;
    return true;
  }

  /** Notes a promise in answer to a request that was sent at the given time. */
  void promised(Voter voter, long sentAt, long rowVersion) {
    promisedAt.merge(voter, sentAt, Math::max);
    stored(voter, rowVersion);
  }

  /** Notes that a voter holds a row version under this term. */
  void stored(Voter voter, long version) {
    storedVersion.merge(voter, version, Math::max);
  }

  /** Returns whether this controller leads at a time of its clock. */
  boolean won(long now, OwnershipOptions options) {
    return within(row.voters(), now, options.leaderLeaseMillis());
  }

  /** Returns whether controllers of other data centres know of no later term number. */
  boolean witnessed(long now, OwnershipOptions options) {
    return !row.witnesses().isEmpty() && within(row.witnesses(), now, options.yieldAfterMillis());
  }

  private boolean within(List<Voter> group, long now, long leaseMillis) {
    long sentAt = majority(group, promisedAt, Long.MIN_VALUE);
    return sentAt != Long.MIN_VALUE && now < sentAt + Drift.shrink(leaseMillis);
  }

  /** Returns the row version that a majority of the voters holds under this term. */
  long majorityVersion() {
    return majority(row.voters(), storedVersion, 0);
  }

  private static long majority(List<Voter> group, Map<Voter, Long> values, long absent) {
    List<Long> sorted =
        group.stream()
            .map(voter -> values.getOrDefault(voter, absent))
            .sorted(Collections.reverseOrder())
            .toList();
    return sorted.get(sorted.size() / 2);
  }
}
