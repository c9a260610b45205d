package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.proto.host.UpstreamLimitBody;
import dev.hornbeamwheel.proto.host.UpstreamLimitsBody;
import java.util.stream.Collectors;

/** Turns learned limits of upstreams into message parts and back. */
final class UpstreamLimitsMapping {
  private UpstreamLimitsMapping() {}

  static UpstreamLimitsBody toProto(HostMessage.UpstreamLimits message) {
    UpstreamLimitsBody.Builder body = UpstreamLimitsBody.newBuilder();
    message
        .limits()
        .forEach(
            (upstream, limit) ->
                body.addLimitsBuilder().setUpstream(upstream.value()).setLimit(limit));
    return body.build();
  }

  /** Returns the message; of two limits of one upstream the latter is used, and none below one. */
  static HostMessage.UpstreamLimits fromProto(UpstreamLimitsBody body) {
    return new HostMessage.UpstreamLimits(
        body.getLimitsList().stream()
            .filter(limit -> limit.getLimit() > 0)
            .collect(
                Collectors.toMap(
                    limit -> UpstreamId.of(limit.getUpstream()),
                    UpstreamLimitBody::getLimit,
                    (first, second) -> second)));
  }
}
