package dev.hornbeamwheel.core.placement;

import java.util.List;

/** Decides which slices of a cell should change their owner. */
@FunctionalInterface
public interface PlacementPolicy {
  /**
   * Returns the moves to start now.
   *
   * <p>Slices whose owner is not eligible come first and are never held back by the churn budget.
   *
   * @param view the cell as its leader sees it, never null
   * @return the moves, at most one per slice; empty if the placement is good enough
   */
  List<Move> plan(PlacementView view);
}
