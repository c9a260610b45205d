package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.List;

/**
 * A row of the platform's table; holds the voters and the slice assignments of one cell.
 *
 * @param cell the cell
 * @param version version of the row; starts at one and increases by one with each write
 * @param termNumber term number, starting at one; changes with the voters or the home
 * @param home data centre whose controllers vote and whose upstreams own the slices
 * @param voters controllers of the home data centre, a majority of which elects the leader
 * @param witnesses controllers of other data centres; empty unless the service is {@code YIELD}
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
  /** Makes defensive copies of the lists. */
  public CellRow {
    voters = List.copyOf(voters);
    witnesses = List.copyOf(witnesses);
    unsealed = List.copyOf(unsealed);
  }

  /** Returns the next version of this row with the given assignments. */
  CellRow withAssignments(Assignments next, String operationId) {
    return new CellRow(
        cell, version + 1, termNumber, home, voters, witnesses, unsealed, next, operationId);
  }

  /** Returns the next version of this row without unsealed predecessors. */
  CellRow withoutUnsealed(String operationId) {
    return new CellRow(
        cell,
        version + 1,
        termNumber,
        home,
        voters,
        witnesses,
        List.of(),
        assignments,
        operationId);
  }

  /** Returns this row's term number, home and voters as a predecessor of the next term number. */
  Predecessor asPredecessor() {
    return new Predecessor(termNumber, home, voters, witnesses);
  }
}
