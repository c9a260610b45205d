package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Term;
import java.util.List;
import java.util.Optional;

/** A message between two controllers about the leadership of cells. */
public sealed interface OwnershipMessage {
  /**
   * Asks a voter to promise or renew, for all cells of one pair of controllers at once.
   *
   * @param target start of the voter that is meant; any other start must not answer
   * @param sentAtMillis the sender's clock; the reply repeats it
   * @param requests one for each cell
   */
  record Heartbeat(Incarnation target, long sentAtMillis, List<PromiseRequest> requests)
      implements OwnershipMessage {}

  /**
   * Asks for the promise of one cell.
   *
   * @param cell the cell
   * @param term the term to be led
   * @param rowVersion version of the row that the sender knows
   */
  record PromiseRequest(CellId cell, Term term, long rowVersion) {}

  /**
   * Answers a {@link Heartbeat}.
   *
   * @param sentAtMillis repeated from the heartbeat
   * @param replies one for each cell
   */
  record HeartbeatReply(long sentAtMillis, List<PromiseReply> replies)
      implements OwnershipMessage {}

  /**
   * Answers the request for one cell.
   *
   * @param cell the cell
   * @param term the term that was asked for
   * @param promised whether the voter promises it
   * @param latest greatest term that the voter has promised or seen
   * @param rowVersion version of the row that the voter holds; zero if none
   * @param row the voter's row if it is later than the sender's; empty otherwise
   */
  record PromiseReply(
      CellId cell,
      Term term,
      boolean promised,
      Term latest,
      long rowVersion,
      Optional<CellRow> row) {}

  /**
   * Gives a voter a row that stands in the table.
   *
   * @param term the sender's term
   * @param row the row
   */
  record StoreRow(Term term, CellRow row) implements OwnershipMessage {}

  /**
   * Answers {@link StoreRow}.
   *
   * @param cell the cell
   * @param term repeated from the request
   * @param accepted whether the voter has promised nothing later and is not sealed
   * @param version version of the row that the voter now holds
   */
  record RowStored(CellId cell, Term term, boolean accepted, long version)
      implements OwnershipMessage {}

  /**
   * Asks a voter to promise nothing for a term number again.
   *
   * @param target start of the voter that is meant
   * @param cell the cell
   * @param termNumber the term number, and all before it
   */
  record SealRequest(Incarnation target, CellId cell, long termNumber)
      implements OwnershipMessage {}

  /**
   * Answers {@link SealRequest}.
   *
   * @param target repeated from the request; a sender of another incarnation tells that it
   *     restarted
   * @param cell the cell
   * @param termNumber repeated from the request
   * @param promiseActive whether a promise of the voter is in force, so that the cell has a leader
   * @param claims what the voter knows of idempotency keys of the cell, opaque to this part
   */
  record SealReply(
      Incarnation target, CellId cell, long termNumber, boolean promiseActive, List<String> claims)
      implements OwnershipMessage {}

  /**
   * Gives up a term in favour of a successor within the same term number.
   *
   * @param cell the cell
   * @param term the term that the sender led and gave up
   * @param successor the voter that should stand at once
   */
  record LeadershipTransfer(CellId cell, Term term, MemberId successor)
      implements OwnershipMessage {}

  /**
   * Tells a voter of a new term number that the earlier ones are sealed and their leader gave up.
   *
   * @param termNumber the last number that is sealed
   * @param row the row of the new number
   * @param successor the voter that should stand at once
   */
  record TermsClosed(long termNumber, CellRow row, MemberId successor)
      implements OwnershipMessage {}
}
