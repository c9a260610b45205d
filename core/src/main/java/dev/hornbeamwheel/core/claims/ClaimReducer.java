package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.Reducer;
import java.util.List;

/** Keeps the claims of the cells that this controller is a voter of. */
public final class ClaimReducer implements Reducer<ClaimEvent, ClaimEffect> {
  private ClaimReducer() {}

  /** Returns a reducer that is a voter of no cell. */
  public static ClaimReducer create() {
    return new ClaimReducer();
  }

  @Override
  public List<ClaimEffect> reduce(ClaimEvent event) {
    return List.of();
  }
}
