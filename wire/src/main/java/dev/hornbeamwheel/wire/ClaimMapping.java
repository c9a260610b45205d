package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.claims.ClaimMessage;
import dev.hornbeamwheel.core.claims.ClaimMessage.Claim;
import dev.hornbeamwheel.core.claims.ClaimMessage.ClaimAnswer;
import dev.hornbeamwheel.core.claims.ClaimMessage.OutcomeRecorded;
import dev.hornbeamwheel.core.claims.ClaimMessage.RecordOutcome;
import dev.hornbeamwheel.core.claims.ClaimMessage.SealClaims;
import dev.hornbeamwheel.core.claims.ClaimMessage.SealedClaims;
import dev.hornbeamwheel.core.claims.ClaimRecord;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.proto.ClaimBody;

/** Protobuf form of messages about claims on idempotency keys. */
final class ClaimMapping {
  private ClaimMapping() {}

  static ClaimBody toProto(ClaimMessage message) {
    ClaimBody.Builder body = ClaimBody.newBuilder().setCell(CellMapping.toProto(message.cell()));
    if (message instanceof Claim claim) {
      body.getClaimBuilder()
          .setTermNumber(claim.termNumber())
          .setContract(claim.contract().value())
          .setKey(claim.key().value())
          .setFingerprint(claim.fingerprint())
          .setRequestId(claim.requestId().value())
          .setRound(claim.round());
    } else if (message instanceof ClaimAnswer answer) {
      body.getClaimAnswerBuilder()
          .setTermNumber(answer.termNumber())
          .setRequestId(answer.requestId().value())
          .setRound(answer.round())
          .setVerdict(ClaimStateMapping.verdict(answer.verdict()))
          .setStatus(answer.status());
    } else if (message instanceof RecordOutcome settle) {
      body.getSettleBuilder()
          .setContract(settle.contract().value())
          .setKey(settle.key().value())
          .setRequestId(settle.requestId().value())
          .setRound(settle.round())
          .setState(ClaimStateMapping.toProto(settle.state()))
          .setStatus(settle.status());
    } else if (message instanceof OutcomeRecorded settled) {
      body.getSettledBuilder().setRequestId(settled.requestId().value());
    } else if (message instanceof SealClaims seal) {
      body.getSealClaimsBuilder().setNumber(seal.newTermNumber());
    } else if (message instanceof SealedClaims sealed) {
      body.getSealedClaimsBuilder()
          .setNumber(sealed.newTermNumber())
          .setOwnNumber(sealed.voterTermNumber())
          .addAllRecords(sealed.records().stream().map(ClaimMapping::record).toList())
          .setComplete(sealed.complete());
    }
    return body.build();
  }

  static ClaimMessage fromProto(ClaimBody body) {
    CellId cell = CellMapping.fromProto(body.getCell());
    return switch (body.getMessageCase()) {
      case CLAIM -> claim(cell, body.getClaim());
      case CLAIM_ANSWER -> answer(cell, body.getClaimAnswer());
      case SETTLE -> settle(cell, body.getSettle());
      case SETTLED -> new OutcomeRecorded(cell, RequestId.of(body.getSettled().getRequestId()));
      case SEAL_CLAIMS -> new SealClaims(cell, body.getSealClaims().getNumber());
      case SEALED_CLAIMS -> sealed(cell, body.getSealedClaims());
      case MESSAGE_NOT_SET -> throw new IllegalArgumentException("empty claim message");
    };
  }

  private static Claim claim(CellId cell, ClaimBody.Claim proto) {
    return new Claim(
        cell,
        proto.getTermNumber(),
        ContractId.of(proto.getContract()),
        IdempotencyKey.of(proto.getKey()),
        proto.getFingerprint(),
        RequestId.of(proto.getRequestId()),
        proto.getRound());
  }

  private static ClaimAnswer answer(CellId cell, ClaimBody.ClaimAnswer proto) {
    return new ClaimAnswer(
        cell,
        proto.getTermNumber(),
        RequestId.of(proto.getRequestId()),
        proto.getRound(),
        ClaimStateMapping.verdict(proto.getVerdict()),
        proto.getStatus());
  }

  private static RecordOutcome settle(CellId cell, ClaimBody.Settle proto) {
    return new RecordOutcome(
        cell,
        ContractId.of(proto.getContract()),
        IdempotencyKey.of(proto.getKey()),
        RequestId.of(proto.getRequestId()),
        proto.getRound(),
        ClaimStateMapping.fromProto(proto.getState()),
        proto.getStatus());
  }

  private static SealedClaims sealed(CellId cell, ClaimBody.SealedClaims proto) {
    return new SealedClaims(
        cell,
        proto.getNumber(),
        proto.getOwnNumber(),
        proto.getRecordsList().stream().map(ClaimMapping::record).toList(),
        proto.getComplete());
  }

  private static ClaimBody.Record record(ClaimRecord record) {
    return ClaimBody.Record.newBuilder()
        .setContract(record.contract().value())
        .setKey(record.key().value())
        .setFingerprint(record.fingerprint())
        .setHolder(record.holder().value())
        .setRound(record.round())
        .setState(ClaimStateMapping.toProto(record.state()))
        .setStatus(record.status())
        .setAgeMillis(record.ageMillis())
        .build();
  }

  private static ClaimRecord record(ClaimBody.Record proto) {
    return new ClaimRecord(
        ContractId.of(proto.getContract()),
        IdempotencyKey.of(proto.getKey()),
        proto.getFingerprint(),
        RequestId.of(proto.getHolder()),
        proto.getRound(),
        ClaimStateMapping.fromProto(proto.getState()),
        proto.getStatus(),
        proto.getAgeMillis());
  }
}
