package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.List;

/** Gives the idempotency claims that a voter passes on when it is sealed. */
@FunctionalInterface
public interface ClaimsSource {
  /** Returns the claims of a cell as texts that the claims part understands; empty if none. */
  List<String> claims(CellId cell);
}
