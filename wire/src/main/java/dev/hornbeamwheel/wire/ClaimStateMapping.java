package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.claims.ClaimMessage.Verdict;
import dev.hornbeamwheel.core.claims.ClaimState;
import dev.hornbeamwheel.proto.ClaimOutcome;
import dev.hornbeamwheel.proto.ClaimVerdict;

/** Protobuf form of the states of claims and the verdicts on them. */
final class ClaimStateMapping {
  private ClaimStateMapping() {}

  static ClaimOutcome toProto(ClaimState state) {
    return switch (state) {
      case RUNNING -> ClaimOutcome.CLAIM_OUTCOME_RUNNING;
      case COMPLETED -> ClaimOutcome.CLAIM_OUTCOME_COMPLETED;
      case UNKNOWN -> ClaimOutcome.CLAIM_OUTCOME_UNKNOWN;
      case WITHDRAWN -> ClaimOutcome.CLAIM_OUTCOME_WITHDRAWN;
    };
  }

  static ClaimState fromProto(ClaimOutcome outcome) {
    return switch (outcome) {
      case CLAIM_OUTCOME_RUNNING -> ClaimState.RUNNING;
      case CLAIM_OUTCOME_COMPLETED -> ClaimState.COMPLETED;
      case CLAIM_OUTCOME_UNKNOWN -> ClaimState.UNKNOWN;
      case CLAIM_OUTCOME_WITHDRAWN -> ClaimState.WITHDRAWN;
      case CLAIM_OUTCOME_UNSPECIFIED, UNRECOGNIZED ->
          throw new IllegalArgumentException("unknown state of a claim " + outcome);
    };
  }

  static ClaimVerdict verdict(Verdict verdict) {
    return switch (verdict) {
      case RECORDED -> ClaimVerdict.CLAIM_VERDICT_RECORDED;
      case RUNNING -> ClaimVerdict.CLAIM_VERDICT_RUNNING;
      case COMPLETED -> ClaimVerdict.CLAIM_VERDICT_COMPLETED;
      case UNKNOWN -> ClaimVerdict.CLAIM_VERDICT_UNKNOWN;
      case MISMATCH -> ClaimVerdict.CLAIM_VERDICT_MISMATCH;
      case NOT_VOTER -> ClaimVerdict.CLAIM_VERDICT_NOT_VOTER;
    };
  }

  static Verdict verdict(ClaimVerdict verdict) {
    return switch (verdict) {
      case CLAIM_VERDICT_RECORDED -> Verdict.RECORDED;
      case CLAIM_VERDICT_RUNNING -> Verdict.RUNNING;
      case CLAIM_VERDICT_COMPLETED -> Verdict.COMPLETED;
      case CLAIM_VERDICT_UNKNOWN -> Verdict.UNKNOWN;
      case CLAIM_VERDICT_MISMATCH -> Verdict.MISMATCH;
      case CLAIM_VERDICT_NOT_VOTER -> Verdict.NOT_VOTER;
      case CLAIM_VERDICT_UNSPECIFIED, UNRECOGNIZED ->
          throw new IllegalArgumentException("unknown verdict on a claim " + verdict);
    };
  }
}
