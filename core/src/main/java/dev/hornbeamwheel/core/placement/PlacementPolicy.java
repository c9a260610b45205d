package dev.hornbeamwheel.core.placement;

import java.util.List;

/** Decides which slices of a cell should move to another owner. */
@FunctionalInterface
public interface PlacementPolicy {
  /**
   * Returns the moves to start now, those of slices without an eligible owner first.
   *
   * <p>Moves of slices without an eligible owner are not subject to any limit on moves.
   *
   * @param view the cell as seen by its leader, never null
   * @return the moves, at most one per slice; empty if no move is needed
   */
  List<Move> plan(PlacementView view);
}
