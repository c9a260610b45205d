package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;

/** An effect of the claim store of a controller. */
public sealed interface ClaimEffect {
  /** Sends a message to a router. */
  record Send(MemberId to, ClaimMessage message) implements ClaimEffect {}

  /**
   * Passes the claims of a sealed term to whoever gathers them.
   *
   * @param complete whether they are all that this member should know of the cell
   */
  record HandOver(CellId cell, long termNumber, List<ClaimRecord> records, boolean complete)
      implements ClaimEffect {
    /** Copies the list. */
    public HandOver {
      records = List.copyOf(records);
    }
  }
}
