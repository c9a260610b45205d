package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.List;

/**
 * An earlier term number of a cell that may still have a leader.
 *
 * @param termNumber the term number
 * @param home data centre of its voters
 * @param voters its voters
 * @param witnesses its witnesses in other data centres; empty unless the service is {@code YIELD}
 */
public record Predecessor(
    long termNumber, DataCentreId home, List<Voter> voters, List<Voter> witnesses) {
  /** Makes defensive copies of the lists. */
  public Predecessor {
    voters = List.copyOf(voters);
    witnesses = List.copyOf(witnesses);
  }
}
