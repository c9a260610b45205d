package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;

/** A message between a router and a voter of a cell about a claim on an idempotency key. */
public sealed interface ClaimMessage {
  /** Returns the cell whose voters keep the claim. */
  CellId cell();

  /** Returns the request that claims the key. */
  RequestId requestId();

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
  record Settle(
      CellId cell,
      ContractId contract,
      IdempotencyKey key,
      RequestId requestId,
      int round,
      ClaimState state,
      int status)
      implements ClaimMessage {}

  /** Acknowledges that a voter has recorded how a request ended, or has no claim of it. */
  record Settled(CellId cell, RequestId requestId) implements ClaimMessage {}

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
