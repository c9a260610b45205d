package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.limits.LimitsMessage.Claim;
import dev.hornbeamwheel.core.limits.LimitsMessage.Grant;
import dev.hornbeamwheel.core.limits.LimitsMessage.Granted;
import dev.hornbeamwheel.core.limits.LimitsMessage.Request;
import dev.hornbeamwheel.core.limits.Share;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.proto.LimitsBody;
import dev.hornbeamwheel.proto.ShareState;

/** Protobuf form of messages about shares of contracts. */
final class LimitsMapping {
  private LimitsMapping() {}

  static LimitsBody toProto(LimitsMessage message) {
    LimitsBody.Builder body = LimitsBody.newBuilder().setGroup(message.group());
    if (message instanceof Request request) {
      LimitsBody.Request.Builder proto =
          body.getRequestBuilder()
              .setIncarnation(request.incarnation().value())
              .setSequence(request.sequence())
              .setApplied(request.applied());
      request
          .claims()
          .forEach(
              claim ->
                  proto
                      .addClaimsBuilder()
                      .setContract(claim.contract().value())
                      .setHeld(share(claim.held()))
                      .setWanted(share(claim.wanted())));
    } else if (message instanceof Grant grant) {
      LimitsBody.Grant.Builder proto =
          body.getGrantBuilder().setSequence(grant.sequence()).setLeaseMillis(grant.leaseMillis());
      grant
          .grants()
          .forEach(
              granted ->
                  proto
                      .addGrantsBuilder()
                      .setContract(granted.contract().value())
                      .setShare(share(granted.share())));
    }
    return body.build();
  }

  static LimitsMessage fromProto(LimitsBody body) {
    return switch (body.getMessageCase()) {
      case REQUEST -> request(body.getGroup(), body.getRequest());
      case GRANT -> grant(body.getGroup(), body.getGrant());
      case MESSAGE_NOT_SET -> throw new IllegalArgumentException("empty limits message");
    };
  }

  private static Request request(int group, LimitsBody.Request proto) {
    return new Request(
        group,
        Incarnation.of(proto.getIncarnation()),
        proto.getSequence(),
        proto.getApplied(),
        proto.getClaimsList().stream()
            .map(
                claim ->
                    new Claim(
                        ContractId.of(claim.getContract()),
                        share(claim.getHeld()),
                        share(claim.getWanted())))
            .toList());
  }

  private static Grant grant(int group, LimitsBody.Grant proto) {
    return new Grant(
        group,
        proto.getSequence(),
        proto.getLeaseMillis(),
        proto.getGrantsList().stream()
            .map(
                granted ->
                    new Granted(ContractId.of(granted.getContract()), share(granted.getShare())))
            .toList());
  }

  private static ShareState share(Share share) {
    return ShareState.newBuilder()
        .setMilliRate(share.milliRate())
        .setBurst(share.burst())
        .setConcurrency(share.concurrency())
        .build();
  }

  private static Share share(ShareState state) {
    return new Share(state.getMilliRate(), state.getBurst(), state.getConcurrency());
  }
}
