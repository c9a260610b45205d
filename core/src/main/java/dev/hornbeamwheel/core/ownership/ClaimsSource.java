package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.List;

/** Supplies the idempotency claims that a voter sends when it is sealed. */
@FunctionalInterface
public interface ClaimsSource {
  /** Returns the claims of a cell, encoded by the claims component; empty if none. */
  List<String> claims(CellId cell);
}
