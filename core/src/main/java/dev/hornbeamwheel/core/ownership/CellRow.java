package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.List;

/**
 * The row of the platform's table that holds the assignments of one cell.
 *
 * @param cell the cell
 * @param version version of the row, from one; each write adds one
 * @param termNumber term number, from one
 * @param home data centre whose controllers vote and whose upstreams own the slices
 * @param voters controllers of the home data centre, a majority of which chooses the leader
 * @param witnesses controllers of other data centres; empty unless the service yields
 * @param unsealed earlier term numbers that may still have a leader
 * @param assignments the owners of the slices
 * @param operationId identifies the write that made this version
 */
public record CellRow(
    CellId cell,
    long version,
    long termNumber,
    DataCentreId home,
    List<Voter> voters,
    List<Voter> witnesses,
    List<Predecessor> unsealed,
    Assignments assignments,
    String operationId) {
  /** Copies the lists. */
  public CellRow {
    voters = List.copyOf(voters);
    witnesses = List.copyOf(witnesses);
    unsealed = List.copyOf(unsealed);
  }

  /** Returns the next version with other assignments. */
  CellRow withAssignments(Assignments next, String operation) {
    return new CellRow(
        cell, version + 1, termNumber, home, voters, witnesses, unsealed, next, operation);
  }

  /** Returns the next version without unsealed predecessors. */
  CellRow withoutUnsealed(String operation) {
    return new CellRow(
        cell, version + 1, termNumber, home, voters, witnesses, List.of(), assignments, operation);
  }

  /** Returns this term number as a predecessor of the next one. */
  Predecessor asPredecessor() {
    return new Predecessor(termNumber, home, voters, witnesses);
  }
}
