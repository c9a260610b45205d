package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealRequest;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What is known of the voters of one cell beyond the membership, by asking them. */
final class VoterLiveness {
  /** Time between probes, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 250;

  /** Age from which an answer proves nothing more, in milliseconds. */
  private static final long REPLY_VALID_MILLIS = 1000;

  /** Term number that no term has, so that its seal changes nothing. */
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

  /** Asks voters for their incarnation. */
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

  /** Notes that a controller answered a request that was addressed to a voter. */
  void recordReply(Voter asked, Voter replier, boolean led, long now) {
    if (asked.equals(replier)) {
      repliedAt.put(asked, now);
      if (led) {
        promiseActiveAt.put(asked, now);
      } else {
        promiseActiveAt.remove(asked);
      }
    } else {
      restarted.add(asked);
    }
  }

  /** Returns whether a voter can surely promise nothing any more. */
  boolean cannotPromise(Voter voter) {
    return restarted.contains(voter) || context.topology().decommissioned(voter);
  }

  boolean majorityAlive(List<Voter> voters, long now) {
    return majority(voters, voters.stream().filter(voter -> alive(voter, now)).count());
  }

  /** Returns whether a majority is dead or answers and none of them has a leader. */
  boolean sealable(List<Voter> voters, long now) {
    boolean led = voters.stream().anyMatch(voter -> recent(promiseActiveAt.get(voter), now));
    return !led
        && majority(
            voters,
            voters.stream()
                .filter(voter -> cannotPromise(voter) || repliedRecently(voter, now))
                .count());
  }

  private boolean alive(Voter voter, long now) {
    return context.topology().alive(voter) || repliedRecently(voter, now);
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
