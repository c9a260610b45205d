package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.HandOver;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.StoreRow;
import java.util.Optional;
import java.util.stream.Stream;

/** Stands for the leadership of a cell and keeps it by heartbeats. */
final class Candidacy {
  /** Delay between candidates of adjacent rank, in milliseconds. */
  private static final long STAGGER_MILLIS = 150;

  /** Time that the writer of a new term number has to be elected first, in milliseconds. */
  private static final long WRITER_MILLIS = 500;

  /** Time after which a candidate without a majority gives up, in milliseconds. */
  private static final long GIVE_UP_MILLIS = 400;

  /** Bound of the random delay before it stands again, in milliseconds. */
  private static final int RETRY_MILLIS = 300;

  private static final long UNSET = Long.MIN_VALUE;

  private final Context context;
  private final CellId cell;
  private final VoterState vote;
  private Election election;
  private Election earlier;
  private long standAt = UNSET;
  private Term seen = Term.NONE;

  Candidacy(Context context, CellId cell, VoterState vote) {
    this.context = context;
    this.cell = cell;
    this.vote = vote;
  }

  /** Returns the candidacy for the present term number; empty if this controller does not stand. */
  Optional<Election> election() {
    return Optional.ofNullable(election);
  }

  /** Returns the leadership of an earlier term that is still valid; empty if there is none. */
  Optional<Election> earlier(long now) {
    return Optional.ofNullable(earlier).filter(held -> held.won(now, context.options()));
  }

  boolean won(long now) {
    return election != null && election.won(now, context.options());
  }

  /**
   * Follows a change of the term number.
   *
   * @param led the term that this controller leads; empty if none
   * @param writer whether this controller made the change
   */
  void numberChanged(Optional<Term> led, boolean writer, long now) {
    if (won(now) && led.equals(Optional.of(election.term()))) {
      earlier = election;
    }
    election = null;
    standAt = writer ? now : now + WRITER_MILLIS + stagger();
  }

  void forgetEarlier() {
    earlier = null;
  }

  /** Stands at the next tick, without waiting for better ranked candidates. */
  void standSoon(long now) {
    standAt = now;
  }

  /** Stands when it is this controller's turn, and sends heartbeats. */
  void tick(CellRow row, boolean leading, long now) {
    if (!vote.votes() || context.stopping()) {
      return;
    }
    if (election != null && !won(now) && now - election.startedAt() >= GIVE_UP_MILLIS) {
      abandon(now);
    }
    if (election == null) {
      consider(row, now);
    }
    if (election != null && dueHeartbeat(now)) {
      request(row);
    }
    if (leading
        && election != null
        && seen.number() == row.number()
        && seen.isAfter(election.term())) {
      overtake(row, now);
    }
  }

  private boolean dueHeartbeat(long now) {
    long interval = won(now) ? context.options().heartbeatMillis() : context.options().tickMillis();
    return election.takeHeartbeat(now, interval);
  }

  private void request(CellRow row) {
    PromiseRequest request = new PromiseRequest(cell, election.term(), row.version());
    Stream.concat(row.voters().stream(), row.witnesses().stream())
        .forEach(voter -> context.outbox().request(voter, request));
  }

  private void consider(CellRow row, long now) {
    if (vote.heldByOther(now)) {
      standAt = UNSET;
    } else if (standAt == UNSET) {
      standAt = now + stagger();
    }
    if (standAt != UNSET && now >= standAt) {
      election = new Election(nextTerm(row), row, now);
      standAt = UNSET;
    }
  }

  private long stagger() {
    int rank = vote.row().map(this::rank).orElse(0);
    return rank * STAGGER_MILLIS;
  }

  private int rank(CellRow row) {
    return Math.max(0, context.topology().sorted(cell, row.voters()).indexOf(context.self()));
  }

  private Term nextTerm(CellRow row) {
    int round = vote.promised().round();
    if (seen.number() == row.number()) {
      round = Math.max(round, seen.round());
    }
    return Term.of(row.number(), round + 1);
  }

  /** Gives up a candidacy that found no majority, so that its promises block nobody. */
  private void abandon(long now) {
    Term term = election.term();
    election.voters().forEach(v -> tell(v.member(), new HandOver(cell, term, v.member())));
    note(term);
    election = null;
    standAt = now + 1 + context.jitter(RETRY_MILLIS);
  }

  /** Asks for a later term while leading, because some voter has promised a later one. */
  private void overtake(CellRow row, long now) {
    earlier = election;
    election = new Election(nextTerm(row), row, now);
    election.takeHeartbeat(now, 0);
    request(row);
  }

  private void note(Term term) {
    seen = term.isAfter(seen) ? term : seen;
  }

  /** Takes in the reply of a voter. */
  void replied(Voter voter, long sentAt, PromiseReply reply, CellRow row) {
    note(reply.latest());
    if (election == null || !reply.term().equals(election.term())) {
      return;
    }
    if (reply.promised()) {
      election.promised(voter, sentAt, reply.rowVersion());
    }
    if (reply.rowVersion() < row.version()) {
      tell(voter.member(), new StoreRow(election.term(), row));
    }
  }

  /** Gives the leadership to the best ranked other voter that lives. */
  void handOver(CellRow row) {
    if (election == null) {
      return;
    }
    Term term = election.term();
    note(term);
    election = null;
    earlier = null;
    Optional<MemberId> successor =
        context.topology().sorted(cell, row.voters()).stream()
            .filter(voter -> !voter.equals(context.self()) && context.topology().alive(voter))
            .map(Voter::member)
            .findFirst();
    MemberId named = successor.orElse(context.self().member());
    row.voters().forEach(voter -> tell(voter.member(), new HandOver(cell, term, named)));
  }

  private void tell(MemberId to, OwnershipMessage message) {
    context.outbox().send(to, message);
  }
}
