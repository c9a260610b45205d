package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** Seals the earlier term numbers of a cell before the leader of a later one acts. */
final class TermSealer {
  /** Interval between retries of seal requests without a reply. */
  private static final long RETRY_INTERVAL_MILLIS = 150;

  private static final long NEVER = Long.MAX_VALUE / 2;

  private final ControllerContext context;
  private final CellId cell;
  private final VoterLiveness liveness;
  private final Map<Long, Set<Voter>> sealedVoters = new HashMap<>();
  private final Map<Long, Long> votersSealedAt = new HashMap<>();
  private final Map<Long, Long> witnessesSealedAt = new HashMap<>();
  private long closedUpTo;
  private long requestedAt = -RETRY_INTERVAL_MILLIS;

  TermSealer(ControllerContext context, CellId cell, VoterLiveness liveness) {
    this.context = context;
    this.cell = cell;
    this.liveness = liveness;
  }

  /** Records that a term number and all earlier ones are sealed and have no leader. */
  void closeUpTo(long termNumber) {
    closedUpTo = Math.max(closedUpTo, termNumber);
  }

  boolean closed(long termNumber) {
    return termNumber <= closedUpTo;
  }

  void recordSeal(Voter voter, long termNumber) {
    sealedVoters.computeIfAbsent(termNumber, key -> new HashSet<>()).add(voter);
  }

  /** Requests the missing seals. */
  void requestSeals(List<Predecessor> predecessors, long now) {
    predecessors.forEach(predecessor -> updateMajorities(predecessor, now));
    if (now - requestedAt < RETRY_INTERVAL_MILLIS) {
      return;
    }
    requestedAt = now;
    predecessors.stream()
        .filter(predecessor -> !closed(predecessor.termNumber()))
        .forEach(this::requestSeals);
  }

  private void requestSeals(Predecessor predecessor) {
    Stream.concat(predecessor.voters().stream(), predecessor.witnesses().stream())
        .filter(voter -> !countsAsSealed(voter, predecessor))
        .forEach(
            voter ->
                context
                    .outbox()
                    .send(
                        voter.member(),
                        new SealRequest(voter.incarnation(), cell, predecessor.termNumber())));
  }

  /** Records when a majority of the voters and of the witnesses was first seen to be sealed. */
  void updateMajorities(Predecessor predecessor, long now) {
    if (majoritySealed(predecessor.voters(), predecessor)) {
      votersSealedAt.putIfAbsent(predecessor.termNumber(), now);
    }
    if (majoritySealed(predecessor.witnesses(), predecessor)) {
      witnessesSealedAt.putIfAbsent(predecessor.termNumber(), now);
    }
  }

  boolean majorityOfVotersSealed(long termNumber) {
    return votersSealedAt.containsKey(termNumber);
  }

  private boolean majoritySealed(List<Voter> group, Predecessor predecessor) {
    long count = group.stream().filter(voter -> countsAsSealed(voter, predecessor)).count();
    return count >= group.size() / 2 + (group.isEmpty() ? 0 : 1);
  }

  private boolean countsAsSealed(Voter voter, Predecessor predecessor) {
    boolean lost =
        predecessor.voters().contains(voter) && context.topology().declaredLost(predecessor.home());
    return lost
        || liveness.cannotPromise(voter)
        || sealedVoters.getOrDefault(predecessor.termNumber(), Set.of()).contains(voter);
  }

  /** Returns whether no leader of an earlier term number can act any more. */
  boolean earlierLeadersEnded(List<Predecessor> predecessors, Service service, long now) {
    return context.skippedStep() == SkippedStep.NO_SEAL
        || predecessors.stream()
            .allMatch(predecessor -> earlierLeadersEnded(predecessor, service, now));
  }

  private boolean earlierLeadersEnded(Predecessor predecessor, Service service, long now) {
    OwnershipOptions options = context.options();
    long termNumber = predecessor.termNumber();
    if (closed(termNumber)) {
      return true;
    }
    long votersExpireAt =
        votersSealedAt.getOrDefault(termNumber, NEVER)
            + ClockDrift.safeWait(options.leaderLeaseMillis());
    long witnessesExpireAt =
        service.isolation() == Isolation.YIELD
            ? witnessesSealedAt.getOrDefault(termNumber, NEVER)
                + ClockDrift.safeWait(options.yieldAfterMillis())
            : NEVER;
    return now >= Math.min(votersExpireAt, witnessesExpireAt);
  }
}
