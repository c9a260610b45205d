package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.proto.host.CrashEvidenceBody;
import dev.hornbeamwheel.proto.host.EvidenceBody;
import dev.hornbeamwheel.proto.host.EvidenceKindCode;

/** Turns evidence about requests that crash upstreams into messages and back. */
final class CrashEvidenceMapping {
  private CrashEvidenceMapping() {}

  static CrashEvidenceBody toProto(HostMessage.CrashEvidence message) {
    return CrashEvidenceBody.newBuilder()
        .addAllEvidence(message.evidence().stream().map(CrashEvidenceMapping::observation).toList())
        .build();
  }

  /**
   * Returns the message of a body.
   *
   * @throws IllegalArgumentException if an observation is of an unknown kind or of the future
   */
  static HostMessage.CrashEvidence fromProto(CrashEvidenceBody body) {
    return new HostMessage.CrashEvidence(
        body.getEvidenceList().stream().map(CrashEvidenceMapping::evidence).toList());
  }

  private static EvidenceBody observation(Evidence evidence) {
    return EvidenceBody.newBuilder()
        .setFingerprint(evidence.fingerprint())
        .setKind(code(evidence.kind()))
        .setUpstream(evidence.upstream().id().value())
        .setStartedUnixMillis(evidence.upstream().startedUnixMillis())
        .setAgeMillis(evidence.ageMillis())
        .build();
  }

  private static Evidence evidence(EvidenceBody body) {
    if (body.getAgeMillis() < 0) {
      throw new IllegalArgumentException("evidence of age " + body.getAgeMillis() + " ms");
    }
    return new Evidence(
        body.getFingerprint(),
        new UpstreamIncarnation(UpstreamId.of(body.getUpstream()), body.getStartedUnixMillis()),
        kind(body.getKind()),
        body.getAgeMillis());
  }

  private static EvidenceKindCode code(Evidence.Kind kind) {
    return switch (kind) {
      case CRASHED -> EvidenceKindCode.CRASHED;
      case COMPLETED -> EvidenceKindCode.COMPLETED;
      case LIFTED -> EvidenceKindCode.LIFTED;
    };
  }

  private static Evidence.Kind kind(EvidenceKindCode code) {
    return switch (code) {
      case CRASHED -> Evidence.Kind.CRASHED;
      case COMPLETED -> Evidence.Kind.COMPLETED;
      case LIFTED -> Evidence.Kind.LIFTED;
      case UNRECOGNIZED -> throw new IllegalArgumentException("unknown kind of evidence");
    };
  }
}
