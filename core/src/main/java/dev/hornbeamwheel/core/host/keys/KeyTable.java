package dev.hornbeamwheel.core.host.keys;

import java.util.List;

/**
 * The owners of all keys of one service, as it lies in the store; immutable.
 *
 * @param nextFencingToken fencing token of the next grant to a new owner
 * @param assignments sorted by range; together they hold every key once, or none at all
 */
public record KeyTable(long nextFencingToken, List<KeyAssignment> assignments) {
  /** Copies the list. */
  public KeyTable {
    assignments = List.copyOf(assignments);
  }

  /** Returns a table in which no key has an owner. */
  public static KeyTable empty() {
    return new KeyTable(1, List.of());
  }
}
