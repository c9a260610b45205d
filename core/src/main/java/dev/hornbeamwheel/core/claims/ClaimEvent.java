package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;

/** An event for a controller's {@link ClaimReducer}. */
public sealed interface ClaimEvent extends TimedEvent {
  /** Time has passed. */
  record Tick(long atMillis) implements ClaimEvent {}

  /** A message arrived from a router or another voter. */
  record Received(long atMillis, MemberId from, Incarnation incarnation, ClaimMessage message)
      implements ClaimEvent {}

  /**
   * A cell's row of the table became known.
   *
   * @param term the row's term number and voters
   * @param predecessors earlier terms that the row lists as unsealed
   */
  record RowLearned(long atMillis, CellId cell, ClaimTerm term, List<ClaimTerm> predecessors)
      implements ClaimEvent {
    /** Copies the list. */
    public RowLearned {
      predecessors = List.copyOf(predecessors);
    }
  }
}
