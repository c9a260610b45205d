package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.Optional;

/** What other parts of a controller may know of its votes. */
public interface VoterView {
  /** Returns the latest row that this controller knows of a cell; empty if none. */
  Optional<CellRow> row(CellId cell);

  /** Returns whether this controller, since its start, has sealed a term number of a cell. */
  boolean sealed(CellId cell, long number);

  /** Returns whether this start of this controller votes in the latest row of a cell. */
  boolean votes(CellId cell);

  /** Returns whether this controller leads a cell at a time of its clock. */
  boolean leads(CellId cell, long atMillis);
}
