package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Term;
import java.util.List;
import java.util.Optional;

/** A message between controllers about the leadership of cells. */
public sealed interface OwnershipMessage {
  /**
   * Requests or renews a voter's promises for all cells that the sender shares with it.
   *
   * @param target incarnation of the addressed voter; other incarnations must not reply
   * @param sentAtMillis the sender's clock, echoed in the reply
   * @param requests one per cell
   */
  record Heartbeat(Incarnation target, long sentAtMillis, List<PromiseRequest> requests)
      implements OwnershipMessage {}

  /**
   * Requests a promise for one cell.
   *
   * @param cell the cell
   * @param term the term that the sender wants to lead
   * @param rowVersion version of the row known to the sender
   */
  record PromiseRequest(CellId cell, Term term, long rowVersion) {}

  /**
   * Replies to a {@link Heartbeat}.
   *
   * @param sentAtMillis echoed from the heartbeat
   * @param replies one per cell
   */
  record HeartbeatReply(long sentAtMillis, List<PromiseReply> replies)
      implements OwnershipMessage {}

  /**
   * Replies to the request for one cell.
   *
   * @param cell the cell
   * @param term the requested term
   * @param promised whether the voter grants the promise
   * @param latest highest term that the voter has promised or learned from a row
   * @param rowVersion version of the voter's row; zero if it has none
   * @param row the voter's row if it is newer than the sender's; empty otherwise
   */
  record PromiseReply(
      CellId cell,
      Term term,
      boolean promised,
      Term latest,
      long rowVersion,
      Optional<CellRow> row) {}

  /**
   * Replicates a committed row to a voter.
   *
   * @param term the sender's term
   * @param row the row
   */
  record StoreRow(Term term, CellRow row) implements OwnershipMessage {}

  /**
   * Replies to {@link StoreRow}.
   *
   * @param cell the cell
   * @param term echoed from the request
   * @param accepted whether the stored row counts for the term: no later term is promised and the
   *     term number is not sealed
   * @param version version of the voter's row after the request
   */
  record RowStored(CellId cell, Term term, boolean accepted, long version)
      implements OwnershipMessage {}

  /**
   * Asks a voter to make no more promises for a term number.
   *
   * @param target incarnation of the addressed voter
   * @param cell the cell
   * @param termNumber the term number to seal, together with all earlier ones
   */
  record SealRequest(Incarnation target, CellId cell, long termNumber)
      implements OwnershipMessage {}

  /**
   * Replies to {@link SealRequest}.
   *
   * @param target echoed from the request; if it differs from the sender's incarnation, the voter
   *     has restarted
   * @param cell the cell
   * @param termNumber echoed from the request
   * @param promiseActive whether the voter has an unexpired promise, so the cell may have a leader
   * @param claims the voter's idempotency claims for the cell, opaque to this package
   */
  record SealReply(
      Incarnation target, CellId cell, long termNumber, boolean promiseActive, List<String> claims)
      implements OwnershipMessage {}

  /**
   * Gives up a term and names a successor within the same term number.
   *
   * @param cell the cell
   * @param term the term that the sender gives up
   * @param successor the voter that should start an election at once
   */
  record LeadershipTransfer(CellId cell, Term term, MemberId successor)
      implements OwnershipMessage {}

  /**
   * Tells the voters of a new term number that the earlier ones are sealed and have no leader.
   *
   * @param termNumber the last sealed term number
   * @param row the row of the new term number
   * @param successor the voter that should start an election at once
   */
  record TermsClosed(long termNumber, CellRow row, MemberId successor)
      implements OwnershipMessage {}
}
