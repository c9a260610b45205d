package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;

/** A rule that says where each slice belongs, whatever the owners are now. */
@FunctionalInterface
interface HashingScheme {
  /**
   * Returns the owner that each slice should have.
   *
   * @param slices all slices, in a fixed order
   * @param view the cell, with at least one eligible upstream
   */
  Map<Slice, UpstreamId> assignOwners(List<Slice> slices, PlacementView view);

  /** Returns the hash of a slice, the same in every process. */
  static long hash(Slice slice) {
    return Rendezvous.weight(slice.shard() + 1L, slice.keyHash());
  }
}
