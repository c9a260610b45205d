package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;

/** A hashing scheme that determines the owner of each slice independently of its current owner. */
@FunctionalInterface
interface HashingScheme {
  /**
   * Returns the owner of each slice under this scheme.
   *
   * @param slices all slices, in a fixed order
   * @param view the cell; must have at least one eligible upstream
   */
  Map<Slice, UpstreamId> assignOwners(List<Slice> slices, PlacementView view);

  /** Returns the hash of a slice, which is stable across processes. */
  static long hash(Slice slice) {
    return Rendezvous.weight(slice.shard() + 1L, slice.keyHash());
  }
}
