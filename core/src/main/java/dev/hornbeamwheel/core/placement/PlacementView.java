package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;

/**
 * Input of a placement policy for one cell.
 *
 * @param atMillis time of the leader's monotonic clock
 * @param cell the cell
 * @param owners owner of each assigned slice; unassigned shards are absent
 * @param unassigned shards without an owner
 * @param eligible upstreams that may own slices of this cell, with their relative capacity, in a
 *     fixed order
 * @param load requests per second of each slice and of each hot key that is not isolated yet; an
 *     absent entry means zero
 * @param externalLoad requests per second of each upstream from other cells; an absent entry means
 *     zero
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
