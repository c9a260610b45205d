package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealRequest;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks the liveness of the voters of one cell by probing them, in addition to the membership. */
final class VoterLiveness {
  /** Interval between probes of the voters. */
  private static final long PROBE_INTERVAL_MILLIS = 250;

  /** Age up to which a reply proves that a voter is alive. */
  private static final long REPLY_VALID_MILLIS = 1000;

  /** Term number for probes; no term has it, so sealing it has no effect. */
  private static final long PROBE_TERM_NUMBER = 0;

  private final ControllerContext context;
  private final CellId cell;
  private final Map<Voter, Long> repliedAt = new HashMap<>();
  private final Map<Voter, Long> promiseActiveAt = new HashMap<>();
  private final Set<Voter> restarted = new HashSet<>();
  private long probedAt = -PROBE_INTERVAL_MILLIS;

  VoterLiveness(ControllerContext context, CellId cell) {
    this.context = context;
    this.cell = cell;
  }

  /** Probes voters for their incarnation. */
  void probe(Collection<Voter> voters, long now) {
    if (now - probedAt < PROBE_INTERVAL_MILLIS) {
      return;
    }
    probedAt = now;
    voters.stream()
        .filter(voter -> !cannotPromise(voter))
        .forEach(
            voter ->
                context
                    .outbox()
                    .send(
                        voter.member(),
                        new SealRequest(voter.incarnation(), cell, PROBE_TERM_NUMBER)));
  }

  /**
   * Records that a controller replied to a request addressed to a voter; a reply from another
   * incarnation proves that the voter has restarted.
   */
  void recordReply(Voter addressed, Voter replier, boolean promiseActive, long now) {
    if (addressed.equals(replier)) {
      repliedAt.put(addressed, now);
      if (promiseActive) {
        promiseActiveAt.put(addressed, now);
      } else {
        promiseActiveAt.remove(addressed);
      }
    } else {
      restarted.add(addressed);
    }
  }

  /**
   * Returns whether a voter can never promise again: its process has restarted or its host is
   * permanently shut down.
   */
  boolean cannotPromise(Voter voter) {
    return restarted.contains(voter) || context.topology().decommissioned(voter);
  }

  boolean majorityLive(List<Voter> voters, long now) {
    return majority(voters, voters.stream().filter(voter -> isLive(voter, now)).count());
  }

  /**
   * Returns whether a majority can never promise again or replied recently, and no voter reported a
   * recent active promise.
   */
  boolean sealable(List<Voter> voters, long now) {
    boolean promiseActive =
        voters.stream().anyMatch(voter -> recent(promiseActiveAt.get(voter), now));
    return !promiseActive
        && majority(
            voters,
            voters.stream()
                .filter(voter -> cannotPromise(voter) || repliedRecently(voter, now))
                .count());
  }

  private boolean isLive(Voter voter, long now) {
    return context.topology().isLive(voter) || repliedRecently(voter, now);
  }

  private boolean repliedRecently(Voter voter, long now) {
    return recent(repliedAt.get(voter), now);
  }

  private static boolean recent(Long at, long now) {
    return at != null && now - at <= REPLY_VALID_MILLIS;
  }

  private static boolean majority(List<Voter> voters, long count) {
    return count > voters.size() / 2;
  }
}
