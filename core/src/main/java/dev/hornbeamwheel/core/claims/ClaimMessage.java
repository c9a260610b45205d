package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;
import java.util.List;

/** A message about claims on idempotency keys, between a router and a voter or two voters. */
public sealed interface ClaimMessage {
  /** Returns the cell whose voters keep the claim. */
  CellId cell();

  /**
   * Asks a voter to record that a request is about to run.
   *
   * @param termNumber number of the term whose voters are asked
   * @param fingerprint hash of the request
   * @param round round of the claim, from one
   */
  record Claim(
      CellId cell,
      long termNumber,
      ContractId contract,
      IdempotencyKey key,
      long fingerprint,
      RequestId requestId,
      int round)
      implements ClaimMessage {}

  /**
   * Answers a claim.
   *
   * @param termNumber number of the term that was asked under
   * @param verdict what the voter did
   * @param status status that the earlier request was answered with; zero unless COMPLETED
   */
  record ClaimAnswer(
      CellId cell, long termNumber, RequestId requestId, int round, Verdict verdict, int status)
      implements ClaimMessage {}

  /**
   * Records how the claimed request ended.
   *
   * @param state COMPLETED, UNKNOWN or WITHDRAWN
   * @param status status that was answered; zero unless COMPLETED
   * @param round the claim's round; a withdrawal covers all rounds up to it
   */
  record RecordOutcome(
      CellId cell,
      ContractId contract,
      IdempotencyKey key,
      RequestId requestId,
      int round,
      ClaimState state,
      int status)
      implements ClaimMessage {}

  /** Acknowledges that a voter has recorded how a request ended, or has no claim of it. */
  record OutcomeRecorded(CellId cell, RequestId requestId) implements ClaimMessage {}

  /**
   * Tells a voter of an earlier term number to record no more claims, and asks for those it has.
   *
   * @param newTermNumber the new term number; every earlier one is sealed
   */
  record SealClaims(CellId cell, long newTermNumber) implements ClaimMessage {}

  /**
   * Hands the claims of a sealed voter over.
   *
   * @param newTermNumber the new term number that asked
   * @param voterTermNumber the term number that the sender was a voter of
   * @param records the claims that it remembers
   * @param complete whether nothing from before its own term is missing
   */
  record SealedClaims(
      CellId cell,
      long newTermNumber,
      long voterTermNumber,
      List<ClaimRecord> records,
      boolean complete)
      implements ClaimMessage {
    /** Copies the list. */
    public SealedClaims {
      records = List.copyOf(records);
    }
  }

  /** What a voter did with a claim. */
  enum Verdict {
    /** The claim is new, or the same as before, and is recorded. */
    RECORDED,
    /** Another request holds the key and may be running. */
    RUNNING,
    /** Another request holds the key and was answered. */
    COMPLETED,
    /** An earlier request may have run; nobody will learn whether. */
    UNKNOWN,
    /** The key was used for a different request. */
    MISMATCH,
    /** The voter keeps no claims under this term number. */
    NOT_VOTER
  }
}
