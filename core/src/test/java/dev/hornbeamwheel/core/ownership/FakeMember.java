package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** One incarnation of a controller, with the events that arrived while it was paused. */
final class FakeMember {
  final Voter id;
  final DataCentreId dataCentre;
  final OwnershipReducer reducer;
  final FakeClock clock;
  final List<Consumer<Long>> pausedDeliveries = new ArrayList<>();
  Map<DataCentreId, List<Voter>> view = Map.of();
  long configVersion;
  boolean paused;

  FakeMember(Voter id, DataCentreId dataCentre, OwnershipReducer reducer, FakeClock clock) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.reducer = reducer;
    this.clock = clock;
  }

  OwnershipReducer reducer() {
    return reducer;
  }

  DataCentreId dataCentre() {
    return dataCentre;
  }
}
