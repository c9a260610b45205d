package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.LeadershipTransfer;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.StoreRow;
import java.util.Optional;
import java.util.stream.Stream;

/** Runs for the leadership of a cell and maintains its leader lease with heartbeats. */
final class LeaderElector {
  /** Delay between candidates of adjacent rank, so that they rarely compete. */
  private static final long RANK_DELAY_MILLIS = 150;

  /** Head start in elections for the controller that wrote a new term number. */
  private static final long WRITER_HEAD_START_MILLIS = 500;

  /** Time after which a candidate without a majority abandons its election. */
  private static final long ELECTION_TIMEOUT_MILLIS = 400;

  /** Upper bound of the random delay before the next election. */
  private static final int RETRY_JITTER_MILLIS = 300;

  private static final long UNSET = Long.MIN_VALUE;

  private final ControllerContext context;
  private final CellId cell;
  private final VoterState voterState;
  private Election election;
  private Election earlier;
  private long campaignAt = UNSET;
  private Term latestSeen = Term.NONE;

  LeaderElector(ControllerContext context, CellId cell, VoterState voterState) {
    this.context = context;
    this.cell = cell;
    this.voterState = voterState;
  }

  /**
   * Returns the election in the current term number, or empty if this controller is no candidate.
   */
  Optional<Election> election() {
    return Optional.ofNullable(election);
  }

  /**
   * Returns the election won in an earlier term whose lease is still valid, or empty if none is.
   */
  Optional<Election> earlier(long now) {
    return Optional.ofNullable(earlier).filter(e -> e.leaseValid(now, context.options()));
  }

  boolean leaseValid(long now) {
    return election != null && election.leaseValid(now, context.options());
  }

  /**
   * Handles a change of the term number: drops the current election, or keeps it as the earlier one
   * if its term is led.
   *
   * @param led the term that this controller leads; empty if none
   * @param writer whether this controller wrote the change
   */
  void onTermNumberChanged(Optional<Term> led, boolean writer, long now) {
    if (leaseValid(now) && led.equals(Optional.of(election.term()))) {
      earlier = election;
    }
    election = null;
    campaignAt = writer ? now : now + WRITER_HEAD_START_MILLIS + rankDelay();
  }

  void clearEarlier() {
    earlier = null;
  }

  /** Starts an election at the next tick, without waiting for higher-ranked candidates. */
  void campaignNow(long now) {
    campaignAt = now;
  }

  /** Starts an election when it is this controller's turn, and sends heartbeats when due. */
  void tick(CellRow row, boolean leading, long now) {
    if (!voterState.votes() || context.stopping()) {
      return;
    }
    if (election != null
        && !leaseValid(now)
        && now - election.startedAt() >= ELECTION_TIMEOUT_MILLIS) {
      abandonElection(now);
    }
    if (election == null) {
      maybeCampaign(row, now);
    }
    if (election != null && heartbeatDue(now)) {
      requestPromises(row);
    }
    if (election != null
        && latestSeen.number() == row.termNumber()
        && latestSeen.isAfter(election.term())) {
      campaignInLaterTerm(row, leading, now);
    }
  }

  private boolean heartbeatDue(long now) {
    long interval =
        leaseValid(now) ? context.options().heartbeatMillis() : context.options().tickMillis();
    return election.markHeartbeatIfDue(now, interval);
  }

  private void requestPromises(CellRow row) {
    PromiseRequest request = new PromiseRequest(cell, election.term(), row.version());
    Stream.concat(row.voters().stream(), row.witnesses().stream())
        .forEach(voter -> context.outbox().addPromiseRequest(voter, request));
  }

  private void maybeCampaign(CellRow row, long now) {
    if (voterState.promisedToOther(now)) {
      campaignAt = UNSET;
    } else if (campaignAt == UNSET) {
      campaignAt = now + rankDelay();
    }
    if (campaignAt != UNSET && now >= campaignAt) {
      election = new Election(nextTerm(row), row, now);
      campaignAt = UNSET;
    }
  }

  private long rankDelay() {
    int rank = voterState.row().map(this::rank).orElse(0);
    return rank * RANK_DELAY_MILLIS;
  }

  private int rank(CellRow row) {
    return Math.max(0, context.topology().rank(cell, row.voters()).indexOf(context.self()));
  }

  private Term nextTerm(CellRow row) {
    int round = voterState.promised().round();
    if (latestSeen.number() == row.termNumber()) {
      round = Math.max(round, latestSeen.round());
    }
    return Term.of(row.termNumber(), round + 1);
  }

  /**
   * Abandons an election without a majority and ends its promises, so that they block no one else.
   */
  private void abandonElection(long now) {
    Term term = election.term();
    MemberId self = context.self().member();
    voterState.endPromise(self, term);
    election.voters().stream()
        .map(Voter::member)
        .filter(member -> !member.equals(self))
        .forEach(member -> send(member, new LeadershipTransfer(cell, term, self)));
    recordSeen(term);
    election = null;
    campaignAt = now + 1 + context.jitter(RETRY_JITTER_MILLIS);
  }

  /** Starts an election for a later term because a voter has already promised a later one. */
  private void campaignInLaterTerm(CellRow row, boolean leading, long now) {
    if (leading && earlier(now).isEmpty()) {
      earlier = election;
    }
    election = new Election(nextTerm(row), row, leading ? now : election.startedAt());
    election.markHeartbeatIfDue(now, 0);
    requestPromises(row);
  }

  private void recordSeen(Term term) {
    latestSeen = term.isAfter(latestSeen) ? term : latestSeen;
  }

  /** Handles a voter's reply to a promise request. */
  void onPromiseReply(Voter voter, long sentAt, PromiseReply reply, CellRow row) {
    recordSeen(reply.latest());
    if (election == null || !reply.term().equals(election.term())) {
      return;
    }
    if (reply.promised()) {
      election.recordPromise(voter, sentAt, reply.rowVersion());
    }
    if (reply.rowVersion() < row.version()) {
      send(voter.member(), new StoreRow(election.term(), row));
    }
  }

  /** Transfers leadership to the highest-ranked other live voter. */
  void transferLeadership(CellRow row) {
    if (election == null) {
      return;
    }
    Term term = election.term();
    recordSeen(term);
    election = null;
    earlier = null;
    Optional<MemberId> successor =
        context.topology().rank(cell, row.voters()).stream()
            .filter(voter -> !voter.equals(context.self()) && context.topology().isLive(voter))
            .map(Voter::member)
            .findFirst();
    MemberId target = successor.orElse(context.self().member());
    row.voters().forEach(voter -> send(voter.member(), new LeadershipTransfer(cell, term, target)));
  }

  private void send(MemberId to, OwnershipMessage message) {
    context.outbox().send(to, message);
  }
}
