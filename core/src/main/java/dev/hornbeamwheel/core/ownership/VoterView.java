package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.Optional;

/** Read access to the voter state of a controller for its other components. */
public interface VoterView {
  /** Returns the latest row of a cell known to this controller, or empty if none is known. */
  Optional<CellRow> row(CellId cell);

  /** Returns whether this controller has sealed a term number of a cell since it started. */
  boolean sealed(CellId cell, long termNumber);

  /** Returns whether this incarnation of the controller is a voter in the latest row of a cell. */
  boolean votes(CellId cell);

  /** Returns whether this controller leads a cell at the given time of its own clock. */
  boolean leads(CellId cell, long atMillis);
}
