package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.keys.OwnedRange.Phase;
import java.util.List;

/** Selects the ranges that may move now and plans their moves. */
final class MovePlan {
  private final long nowMillis;
  private final OwnedRanges ranges;
  private final OwnerEligibility eligibility;

  private MovePlan(long nowMillis, OwnedRanges ranges, OwnerEligibility eligibility) {
    this.nowMillis = nowMillis;
    this.ranges = ranges;
    this.eligibility = eligibility;
  }

  /**
   * Returns the moves to make.
   *
   * <p>Keys leave an owner that serves them only while it answers its grants; otherwise they would
   * have no holder until it does or its grants expire.
   *
   * @param eligible upstreams that may own keys
   */
  static List<KeyMove> moves(
      long nowMillis,
      OwnedRanges ranges,
      OwnerEligibility eligibility,
      List<UpstreamRegistration> eligible,
      KeyDemand demand,
      HotKeys hotKeys,
      Capacity capacity) {
    MovePlan plan = new MovePlan(nowMillis, ranges, eligibility);
    return KeyPlanner.plan(plan.movable(), plan.inTransit(), eligible, demand, hotKeys, capacity)
        .stream()
        .filter(plan::mayStart)
        .toList();
  }

  private List<KeyPlanner.MovableRange> movable() {
    return ranges.stream()
        .filter(this::canMove)
        .map(
            range ->
                new KeyPlanner.MovableRange(
                    range.range(),
                    range.assignment().owner().incarnation().id(),
                    needsNewOwner(range)))
        .toList();
  }

  private List<KeyAssignment> inTransit() {
    return ranges.stream().filter(range -> !canMove(range)).map(OwnedRange::assignment).toList();
  }

  private boolean canMove(OwnedRange range) {
    return range.phase() == Phase.HELD
        || (range.phase() != Phase.RELEASING && needsNewOwner(range));
  }

  private boolean mayStart(KeyMove move) {
    return ranges
        .find(move.range().first())
        .filter(range -> needsNewOwner(range) || range.ownerGrants().settled(nowMillis))
        .isPresent();
  }

  private boolean needsNewOwner(OwnedRange range) {
    return eligibility.needsNewOwner(nowMillis, range);
  }
}
