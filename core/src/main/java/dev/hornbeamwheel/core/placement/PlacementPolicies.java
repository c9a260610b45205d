package dev.hornbeamwheel.core.placement;

/** Factory methods for the provided placement policies. */
public final class PlacementPolicies {
  /** Maximum ratio of an upstream's load to the mean with bounded-load hashing. */
  private static final double LOAD_BOUND = 1.2;

  private PlacementPolicies() {}

  /**
   * Returns the default policy, which balances load with few moves and a limited rate of shard
   * moves.
   *
   * <p>The policy is stateful: it remembers its recent shard moves in each cell.
   */
  public static PlacementPolicy boundedChurn() {
    return BoundedChurnPolicy.create();
  }

  /** Returns a policy with plain consistent hashing, which ignores load. */
  public static PlacementPolicy consistentHashing() {
    return new HashingPolicy(new ConsistentHashing());
  }

  /** Returns a policy with rendezvous hashing, which ignores load. */
  public static PlacementPolicy rendezvousHashing() {
    return new HashingPolicy(new RendezvousHashing());
  }

  /** Returns a policy with consistent hashing that skips upstreams above a load bound. */
  public static PlacementPolicy boundedLoadHashing() {
    return new HashingPolicy(new BoundedLoadHashing(LOAD_BOUND));
  }
}
