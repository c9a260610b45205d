package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.claims.ClaimMessage.Verdict;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The claim of one request on its idempotency key, as its router follows it.
 *
 * <p>The request may run only in state {@link State#WON}, which a majority of the voters of one
 * term number has to grant within one round.
 */
public final class Claimant {
  /** Where a claim stands. */
  public enum State {
    /** Answers are awaited. */
    ASKING,
    /** A majority has recorded the claim: the request may run. */
    WON,
    /** Another request holds the key, or the votes were split. */
    BUSY,
    /** Another request with the key was answered. */
    COMPLETED,
    /** Another request with the key may have run. */
    UNKNOWN,
    /** The key was used for a different request. */
    MISMATCH,
    /** The voters asked are voters no longer. */
    STALE
  }

  private final CellId cell;
  private final ContractId contract;
  private final IdempotencyKey key;
  private final long fingerprint;
  private final RequestId requestId;
  private final Map<MemberId, Verdict> verdicts = new HashMap<>();
  private List<MemberId> voters = List.of();
  private long termNumber;
  private int round;
  private int status;
  private boolean conflictSeen;
  private State state = State.STALE;

  private Claimant(
      CellId cell, ContractId contract, IdempotencyKey key, long fingerprint, RequestId requestId) {
    this.cell = cell;
    this.contract = contract;
    this.key = key;
    this.fingerprint = fingerprint;
    this.requestId = requestId;
  }

  /** Returns a claim that no voter was asked for yet. */
  public static Claimant of(
      CellId cell, ContractId contract, IdempotencyKey key, long fingerprint, RequestId requestId) {
    return new Claimant(cell, contract, key, fingerprint, requestId);
  }

  /** Starts a new round under a term number and its voters. */
  public void startRound(long number, List<MemberId> members) {
    termNumber = number;
    voters = members;
    round++;
    verdicts.clear();
    state = voters.isEmpty() ? State.STALE : State.ASKING;
  }

  /** Returns the question to each voter that has not answered this round. */
  public ClaimMessage.Claim claimMessage() {
    return new ClaimMessage.Claim(cell, termNumber, contract, key, fingerprint, requestId, round);
  }

  /** Returns the voters that have not answered this round. */
  public List<MemberId> unansweredVoters() {
    return voters.stream().filter(voter -> !verdicts.containsKey(voter)).toList();
  }

  /** Takes an answer in and returns where the claim stands. */
  public State receive(MemberId from, ClaimMessage.ClaimAnswer answer) {
    boolean current = answer.round() == round && answer.termNumber() == termNumber;
    if (state != State.ASKING || !current || !voters.contains(from)) {
      return state;
    }
    verdicts.put(from, answer.verdict());
    status = Math.max(status, answer.status());
    state = evaluate();
    return state;
  }

  /** Returns the message that tells the voters how the request ended. */
  public ClaimMessage.RecordOutcome outcomeMessage(ClaimState outcome, int answeredStatus) {
    return new ClaimMessage.RecordOutcome(
        cell, contract, key, requestId, round, outcome, answeredStatus);
  }

  /** Returns where the claim stands. */
  public State state() {
    return state;
  }

  /** Returns the voters of the current round. */
  public List<MemberId> voters() {
    return voters;
  }

  /** Returns the cell whose voters keep the claim. */
  public CellId cell() {
    return cell;
  }

  /** Returns the term number of the current round. */
  public long termNumber() {
    return termNumber;
  }

  /** Returns the status of the earlier answer in state COMPLETED. */
  public int status() {
    return status;
  }

  /** Returns whether any voter has ever told of another request with the same key. */
  public boolean conflictSeen() {
    return conflictSeen;
  }

  private State evaluate() {
    int majority = voters.size() / 2 + 1;
    int recorded = count(Verdict.RECORDED);
    conflictSeen |= count(Verdict.RUNNING) + count(Verdict.UNKNOWN) + count(Verdict.COMPLETED) > 0;
    if (recorded >= majority) {
      return State.WON;
    }
    if (count(Verdict.COMPLETED) > 0) {
      return State.COMPLETED;
    }
    if (count(Verdict.MISMATCH) > 0) {
      return State.MISMATCH;
    }
    int unanswered = voters.size() - verdicts.size();
    if (recorded + unanswered >= majority) {
      return State.ASKING;
    }
    if (count(Verdict.UNKNOWN) > 0) {
      return State.UNKNOWN;
    }
    return count(Verdict.RUNNING) > 0 ? State.BUSY : State.STALE;
  }

  private int count(Verdict verdict) {
    return (int) verdicts.values().stream().filter(v -> v == verdict).count();
  }
}
