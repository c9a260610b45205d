package dev.hornbeamwheel.core.placement;

/** Ready placement policies. */
public final class PlacementPolicies {
  /** Load over its mean that bounded-load hashing accepts. */
  private static final double LOAD_BOUND = 1.2;

  private PlacementPolicies() {}

  /**
   * Returns the default policy: the fewest moves that bring the worst upstream under a bound.
   *
   * <p>The policy remembers what it moved lately, so each cell needs one of its own.
   */
  public static PlacementPolicy boundedChurn() {
    return BoundedChurnPolicy.create();
  }

  /** Returns plain consistent hashing, which ignores load. */
  public static PlacementPolicy consistentHashing() {
    return new HashingPolicy(new ConsistentHashing());
  }

  /** Returns rendezvous hashing, which ignores load. */
  public static PlacementPolicy rendezvousHashing() {
    return new HashingPolicy(new RendezvousHashing());
  }

  /** Returns consistent hashing that passes over upstreams loaded beyond a bound. */
  public static PlacementPolicy boundedLoadHashing() {
    return new HashingPolicy(new BoundedLoadHashing(LOAD_BOUND));
  }
}
