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
   * This member became a voter of a term and may record claims under its number.
   *
   * @param records union of the claims that the sealed voters of the predecessors handed over
   * @param complete whether a majority of each predecessor's voters handed over theirs, or there
   *     was no predecessor
   */
  record TermOpened(
      long atMillis, CellId cell, long termNumber, List<ClaimRecord> records, boolean complete)
      implements ClaimEvent {
    /** Copies the list. */
    public TermOpened {
      records = List.copyOf(records);
    }
  }

  /** This member sealed a term: it records no more claims under this or an older number. */
  record TermSealed(long atMillis, CellId cell, long termNumber) implements ClaimEvent {}
}
