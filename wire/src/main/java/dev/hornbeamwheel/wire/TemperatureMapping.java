package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.dispatch.WarmUpState;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.proto.TemperatureState;
import java.util.List;

/** Protobuf form of what members know of how much an upstream bears. */
final class TemperatureMapping {
  private TemperatureMapping() {}

  static TemperatureState toProto(WarmUpState temperature) {
    return TemperatureState.newBuilder()
        .setUpstream(temperature.upstream().value())
        .setIncarnation(temperature.incarnation())
        .setColdStarts(temperature.coldStarts())
        .setRatePerSecond(temperature.ratePerSecond())
        .setWarm(temperature.warm())
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

  static List<TemperatureState> allToProto(List<WarmUpState> temperatures) {
    return temperatures.stream().map(TemperatureMapping::toProto).toList();
  }

  static List<WarmUpState> allFromProto(List<TemperatureState> states) {
    return states.stream().map(TemperatureMapping::fromProto).toList();
  }
}
