package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;

/**
 * What a placement policy sees of one cell.
 *
 * @param atMillis the leader's monotonic time
 * @param cell the cell
 * @param owners owner of each assigned slice; an unassigned shard is absent
 * @param unassigned shards without an owner
 * @param eligible upstreams that may own slices of this cell, with their relative capacity, in a
 *     fixed order
 * @param load requests a second of each slice and of each hot key that is not isolated yet; absent
 *     means no load
 * @param externalLoad requests a second that each upstream has from other cells; absent means none
 * @param isolationAllowed whether keys of this service may be isolated
 */
public record PlacementView(
    long atMillis,
    CellId cell,
    Map<Slice, UpstreamId> owners,
    List<Slice> unassigned,
    List<Target> eligible,
    Map<Slice, Double> load,
    Map<UpstreamId, Double> externalLoad,
    boolean isolationAllowed) {
  /** An upstream that may own slices, with its relative capacity. */
  public record Target(UpstreamId upstream, double capacity) {}
}
