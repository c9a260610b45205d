package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.dispatch.WarmUpState;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.proto.TemperatureState;
import java.util.List;

/** Protobuf form of the warm-up states of upstreams. */
final class WarmUpStateMapping {
  private WarmUpStateMapping() {}

  static TemperatureState toProto(WarmUpState state) {
    return TemperatureState.newBuilder()
        .setUpstream(state.upstream().value())
        .setIncarnation(state.incarnation())
        .setColdStarts(state.coldStarts())
        .setRatePerSecond(state.ratePerSecond())
        .setWarm(state.warm())
        .build();
  }

  static WarmUpState fromProto(TemperatureState state) {
    return new WarmUpState(
        UpstreamId.of(state.getUpstream()),
        state.getIncarnation(),
        state.getColdStarts(),
        state.getRatePerSecond(),
        state.getWarm());
  }

  static List<TemperatureState> allToProto(List<WarmUpState> states) {
    return states.stream().map(WarmUpStateMapping::toProto).toList();
  }

  static List<WarmUpState> allFromProto(List<TemperatureState> states) {
    return states.stream().map(WarmUpStateMapping::fromProto).toList();
  }
}
