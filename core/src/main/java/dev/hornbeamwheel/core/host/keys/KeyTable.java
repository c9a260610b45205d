package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.EraNumber;
import java.util.List;

/**
 * The stored assignments of the keys of one service; immutable.
 *
 * @param nextFencingToken fencing token for the next assignments
 * @param assignments assignments sorted by range; they cover every key exactly once, or none
 */
public record KeyTable(long nextFencingToken, List<KeyAssignment> assignments) {
  /** Creates a table with a copy of the list. */
  public KeyTable {
    assignments = List.copyOf(assignments);
  }

  /** Returns the era of the store for which the table was written. */
  long era() {
    return EraNumber.eraOf(nextFencingToken);
  }

  /** Returns a table in which no key has an owner. */
  public static KeyTable empty() {
    return new KeyTable(1, List.of());
  }
}
