package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.claims.ClaimEvent;
import dev.hornbeamwheel.core.claims.ClaimTerm;
import dev.hornbeamwheel.core.claims.ClaimVoter;
import dev.hornbeamwheel.core.membership.Item;
import dev.hornbeamwheel.core.membership.ItemKey;
import dev.hornbeamwheel.core.membership.Topic;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.Assignment;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.Voter;
import dev.hornbeamwheel.core.routing.OwnershipRow;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The forms in which the concerns want to know a cell's row. */
final class RowForms {
  private RowForms() {}

  /** Returns the item under which members gossip a row. */
  static Item item(CellRow row, ItemCodec codec) {
    return Item.of(
        ItemKey.of(Topic.CELL_ROW, row.cell().rowName()), row.version(), codec.encodeRow(row));
  }

  /** Returns what the claim store learns from a row. */
  static ClaimEvent.RowLearned claims(long nowMillis, CellRow row) {
    return new ClaimEvent.RowLearned(
        nowMillis,
        row.cell(),
        new ClaimTerm(row.termNumber(), claimVoters(row.voters())),
        row.unsealed().stream()
            .map(earlier -> new ClaimTerm(earlier.termNumber(), claimVoters(earlier.voters())))
            .toList());
  }

  /**
   * Returns what routing learns from a row.
   *
   * <p>Each version of the row gives two of them, of which the second overrides the first.
   *
   * @param heldBack whether requests of slices on the move wait, as opposed to trying the new owner
   */
  static OwnershipRow routing(CellRow row, boolean heldBack) {
    List<UpstreamId> owners = row.assignments().upstreams();
    Map<UpstreamId, Integer> index = new HashMap<>();
    owners.forEach(owner -> index.put(owner, index.size()));
    OwnershipRow.Builder builder =
        OwnershipRow.builder(
            row.cell(),
            row.termNumber(),
            2 * row.version() + (heldBack ? 0 : 1),
            row.voters().stream().map(Voter::member).toList(),
            owners);
    row.assignments().stream().forEach(each -> add(builder, each, index, heldBack));
    return builder.build();
  }

  private static void add(
      OwnershipRow.Builder builder,
      Assignment assignment,
      Map<UpstreamId, Integer> index,
      boolean heldBack) {
    builder.slice(
        assignment.slice().shard(),
        assignment.slice().keyHash(),
        index.get(assignment.owner()),
        assignment.epoch().value(),
        heldBack && assignment.previousOwner().isPresent());
  }

  private static List<ClaimVoter> claimVoters(List<Voter> voters) {
    return voters.stream()
        .map(voter -> new ClaimVoter(voter.member(), voter.incarnation()))
        .toList();
  }
}
