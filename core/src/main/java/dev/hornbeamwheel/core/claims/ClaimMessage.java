package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;
import java.util.List;

/** A message about claims on idempotency keys, from a router to a voter or between voters. */
public sealed interface ClaimMessage {
  /** Returns the cell whose voters store the claim. */
  CellId cell();

  /**
   * Asks a voter to record that a request claims its idempotency key and is about to run.
   *
   * @param termNumber term number under which the claim is to be recorded
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
   * Responds to a claim.
   *
   * @param termNumber term number of the claim
   * @param verdict the voter's decision
   * @param status status of the earlier request's response; zero unless COMPLETED
   */
  record ClaimAnswer(
      CellId cell, long termNumber, RequestId requestId, int round, Verdict verdict, int status)
      implements ClaimMessage {}

  /**
   * Asks a voter to record how the claimed request ended.
   *
   * @param state COMPLETED, UNKNOWN or WITHDRAWN
   * @param status status of the response; zero unless COMPLETED
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

  /** Acknowledges {@link RecordOutcome}; also sent by a voter that has no such claim. */
  record OutcomeRecorded(CellId cell, RequestId requestId) implements ClaimMessage {}

  /**
   * Tells a voter of an earlier term to record no more claims and requests those it has stored.
   *
   * @param newTermNumber the new term number; all earlier terms are sealed
   */
  record SealClaims(CellId cell, long newTermNumber) implements ClaimMessage {}

  /**
   * Transfers the claims of a sealed voter; answers {@link SealClaims}.
   *
   * @param newTermNumber the new term number, from the request
   * @param voterTermNumber the term number whose claims the sender has stored
   * @param records the claims that the sender has stored
   * @param complete whether no claim from before {@code voterTermNumber} is missing
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

  /** Describes a voter's decision on a claim. */
  enum Verdict {
    /** The claim is recorded; it is new or repeats an earlier claim of the same request. */
    RECORDED,
    /** The key is held by a request that may be running. */
    RUNNING,
    /** The key is held by a request that was answered. */
    COMPLETED,
    /** An earlier request may have run; whether it did cannot be determined. */
    UNKNOWN,
    /** The key was used for a different request. */
    MISMATCH,
    /** The voter records no claims under this term number. */
    NOT_VOTER
  }
}
