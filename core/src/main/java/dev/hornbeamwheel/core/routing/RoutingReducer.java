package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.Reducer;
import java.util.List;
import java.util.Objects;

/** Decides for each request of a router where it runs and what its caller is told. */
public final class RoutingReducer implements Reducer<RoutingEvent, RoutingEffect> {
  private final RoutingSettings settings;

  private RoutingReducer(RoutingSettings settings) {
    this.settings = settings;
  }

  /** Returns a reducer that knows of no configuration, member or owner yet. */
  public static RoutingReducer create(RoutingSettings settings) {
    return new RoutingReducer(settings);
  }

  @Override
  public List<RoutingEffect> reduce(RoutingEvent event) {
    Objects.requireNonNull(settings);
    return List.of();
  }
}
