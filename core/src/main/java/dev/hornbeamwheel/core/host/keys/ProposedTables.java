package dev.hornbeamwheel.core.host.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The tables that were proposed since the stored table last changed.
 *
 * <p>The store may apply a write long after its call has failed, so each of them may still take
 * effect, but at most one.
 */
final class ProposedTables {
  private record Proposed(KeyTable table, TableProposal proposal) {}

  private final List<Proposed> proposedTables = new ArrayList<>();

  /** Adds a proposal; returns its table, which is based on the state of the ranges at the call. */
  KeyTable add(TableProposal proposal) {
    KeyTable table = proposal.table();
    proposedTables.removeIf(earlier -> earlier.table().equals(table));
    proposedTables.add(new Proposed(table, proposal));
    return table;
  }

  /** Records that the store was restored, so that none of the tables is adopted as stored. */
  void clear() {
    proposedTables.clear();
  }

  /**
   * Records that the stored table has changed, so that no other proposal can take effect.
   *
   * @return the ranges of the new table in their current state; empty if it was not proposed here
   */
  Optional<List<OwnedRange>> adopt(KeyTable table) {
    Optional<List<OwnedRange>> ranges =
        proposedTables.stream()
            .filter(proposed -> proposed.table().equals(table))
            .findFirst()
            .map(proposed -> proposed.proposal().resultingRanges());
    proposedTables.clear();
    return ranges;
  }
}
