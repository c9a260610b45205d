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

/** Closes the earlier term numbers of a cell before a later one is acted on. */
final class Sealing {
  /** Time after which an unanswered request is sent again, in milliseconds. */
  private static final long RETRY_MILLIS = 150;

  private static final long NEVER = Long.MAX_VALUE / 2;

  private final Context context;
  private final CellId cell;
  private final Liveness liveness;
  private final Map<Long, Set<Voter>> sealed = new HashMap<>();
  private final Map<Long, Long> votersSealedAt = new HashMap<>();
  private final Map<Long, Long> witnessesSealedAt = new HashMap<>();
  private long closedUpTo;
  private long requestedAt = -RETRY_MILLIS;

  Sealing(Context context, CellId cell, Liveness liveness) {
    this.context = context;
    this.cell = cell;
    this.liveness = liveness;
  }

  /** Notes that a number and all before it are sealed and their leader gave up. */
  void close(long number) {
    closedUpTo = Math.max(closedUpTo, number);
  }

  boolean closed(long number) {
    return number <= closedUpTo;
  }

  void sealed(Voter voter, long number) {
    sealed.computeIfAbsent(number, key -> new HashSet<>()).add(voter);
  }

  /** Asks for the seals that are missing. */
  void request(List<Predecessor> predecessors, long now) {
    predecessors.forEach(predecessor -> note(predecessor, now));
    if (now - requestedAt < RETRY_MILLIS) {
      return;
    }
    requestedAt = now;
    predecessors.stream()
        .filter(predecessor -> !closed(predecessor.number()))
        .forEach(this::request);
  }

  private void request(Predecessor predecessor) {
    Stream.concat(predecessor.voters().stream(), predecessor.witnesses().stream())
        .filter(voter -> !counts(voter, predecessor))
        .forEach(
            voter ->
                context
                    .outbox()
                    .send(
                        voter.member(),
                        new SealRequest(voter.incarnation(), cell, predecessor.number())));
  }

  /** Notes when majorities came to be sealed. */
  void note(Predecessor predecessor, long now) {
    if (majoritySealed(predecessor.voters(), predecessor)) {
      votersSealedAt.putIfAbsent(predecessor.number(), now);
    }
    if (majoritySealed(predecessor.witnesses(), predecessor)) {
      witnessesSealedAt.putIfAbsent(predecessor.number(), now);
    }
  }

  boolean votersSealed(long number) {
    return votersSealedAt.containsKey(number);
  }

  private boolean majoritySealed(List<Voter> group, Predecessor predecessor) {
    long count = group.stream().filter(voter -> counts(voter, predecessor)).count();
    return count >= group.size() / 2 + (group.isEmpty() ? 0 : 1);
  }

  private boolean counts(Voter voter, Predecessor predecessor) {
    boolean lost =
        predecessor.voters().contains(voter) && context.topology().lost(predecessor.home());
    return lost
        || liveness.dead(voter)
        || sealed.getOrDefault(predecessor.number(), Set.of()).contains(voter);
  }

  /** Returns whether no leader of an earlier number can act any more. */
  boolean settled(List<Predecessor> predecessors, Service service, long now) {
    return context.shortcut() == Shortcut.NO_SEAL
        || predecessors.stream().allMatch(predecessor -> settled(predecessor, service, now));
  }

  private boolean settled(Predecessor predecessor, Service service, long now) {
    OwnershipOptions options = context.options();
    long number = predecessor.number();
    if (closed(number)) {
      return true;
    }
    long byVoters =
        votersSealedAt.getOrDefault(number, NEVER) + Drift.widen(options.leaderLeaseMillis());
    long byWitnesses =
        service.isolation() == Isolation.YIELD
            ? witnessesSealedAt.getOrDefault(number, NEVER)
                + Drift.widen(options.yieldAfterMillis())
            : NEVER;
    return now >= Math.min(byVoters, byWitnesses);
  }
}
