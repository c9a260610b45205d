package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;

/** An output of {@link OwnershipReducer} for the caller to perform. */
public sealed interface OwnershipEffect {
  /** Sends a message to a controller; delivery is not guaranteed. */
  record SendMessage(MemberId to, OwnershipMessage message) implements OwnershipEffect {}

  /** Reads a row; the result arrives as {@link OwnershipEvent.RowRead}. */
  record ReadRow(CellId cell, long readId) implements OwnershipEffect {}

  /**
   * Writes a row if its version in the table is the expected one; the result arrives as {@link
   * OwnershipEvent.RowWritten}.
   *
   * @param cell the cell
   * @param expectedVersion version the row must have; zero if the row must not exist
   * @param row the row to write, including the operation id
   */
  record WriteRow(CellId cell, long expectedVersion, CellRow row) implements OwnershipEffect {}

  /** Sends an order to an upstream; it may be lost, delayed or duplicated. */
  record SendOrder(UpstreamId upstream, UpstreamOrder order) implements OwnershipEffect {}

  /** Publishes a committed row to routers and other controllers. */
  record PublishRow(CellRow row) implements OwnershipEffect {}

  /** Delivers the idempotency claims of a sealed voter to the claims component of this voter. */
  record DeliverClaims(CellId cell, long termNumber, List<String> claims)
      implements OwnershipEffect {}

  /** Logs a decision. */
  record Log(Decision decision) implements OwnershipEffect {}
}
