package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.List;

/** Leases the shares of a group of contracts to the routers of one data centre. */
public final class LimitsArbiter implements Reducer<ArbiterEvent, LimitsEffect> {
  private LimitsArbiter() {}

  /** Returns the arbiter of a group in a data centre, which does nothing until it leads. */
  public static LimitsArbiter of(DataCentreId dataCentre, int group) {
    return new LimitsArbiter();
  }

  @Override
  public List<LimitsEffect> reduce(ArbiterEvent event) {
    return List.of();
  }
}
