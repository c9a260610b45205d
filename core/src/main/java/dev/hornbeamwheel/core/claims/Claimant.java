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
 * Tracks, on the router, the claim of one request on its idempotency key.
 *
 * <p>The request may run only in state {@link State#WON}, which requires that a majority of one
 * term's voters records the claim within one round.
 */
public final class Claimant {
  /** The state of a claim. */
  public enum State {
    /** Undecided; more answers are awaited. */
    ASKING,
    /** A majority of the voters recorded the claim; the request may run. */
    WON,
    /** Another request holds the key, or the votes were split between requests. */
    BUSY,
    /** Another request with the key was answered. */
    COMPLETED,
    /** Another request with the key may have run. */
    UNKNOWN,
    /** The key was used for a different request. */
    MISMATCH,
    /** The term is out of date: its voters record no claims under it, or there are none. */
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

  /** Returns a claim that has not been sent to any voter. */
  public static Claimant of(
      CellId cell, ContractId contract, IdempotencyKey key, long fingerprint, RequestId requestId) {
    return new Claimant(cell, contract, key, fingerprint, requestId);
  }

  /** Starts a new round under a term and with its voters; earlier votes are discarded. */
  public void startRound(long newTermNumber, List<MemberId> newVoters) {
    termNumber = newTermNumber;
    voters = newVoters;
    round++;
    verdicts.clear();
    state = voters.isEmpty() ? State.STALE : State.ASKING;
  }

  /** Returns the message to the voters that have not answered in the current round. */
  public ClaimMessage.Claim claimMessage() {
    return new ClaimMessage.Claim(cell, termNumber, contract, key, fingerprint, requestId, round);
  }

  /** Returns the voters that have not answered in the current round. */
  public List<MemberId> unansweredVoters() {
    return voters.stream().filter(voter -> !verdicts.containsKey(voter)).toList();
  }

  /** Handles a voter's answer and returns the resulting state; stale answers are ignored. */
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

  /** Returns the message that asks the voters to record how the request ended. */
  public ClaimMessage.RecordOutcome outcomeMessage(ClaimState outcome, int responseStatus) {
    return new ClaimMessage.RecordOutcome(
        cell, contract, key, requestId, round, outcome, responseStatus);
  }

  /** Returns the state of the claim. */
  public State state() {
    return state;
  }

  /** Returns the voters of the current round. */
  public List<MemberId> voters() {
    return voters;
  }

  /** Returns the cell whose voters store the claim. */
  public CellId cell() {
    return cell;
  }

  /** Returns the term number of the current round. */
  public long termNumber() {
    return termNumber;
  }

  /** Returns the status of the earlier response; zero unless a voter answered COMPLETED. */
  public int status() {
    return status;
  }

  /** Returns whether any voter, in any round, reported another request with the same key. */
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
