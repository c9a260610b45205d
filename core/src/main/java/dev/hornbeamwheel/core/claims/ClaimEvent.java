package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;

/** An event of the claim store of a controller. */
public sealed interface ClaimEvent extends TimedEvent {
  /** Time has passed. */
  record Tick(long atMillis) implements ClaimEvent {}

  /** A router sent a message. */
  record Received(long atMillis, MemberId from, Incarnation incarnation, ClaimMessage message)
      implements ClaimEvent {}

  /**
   * A row of the table was learned.
   *
   * @param term the term number of the row and its voters
   * @param predecessors earlier term numbers that the row names as unsealed
   */
  record RowLearned(long atMillis, CellId cell, ClaimTerm term, List<ClaimTerm> predecessors)
      implements ClaimEvent {
    /** Copies the list. */
    public RowLearned {
      predecessors = List.copyOf(predecessors);
    }
  }
}
