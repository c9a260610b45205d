package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;

/** Something that the ownership part of a controller wants done. */
public sealed interface OwnershipEffect {
  /** Sends a message to a controller; it may be lost. */
  record SendMessage(MemberId to, OwnershipMessage message) implements OwnershipEffect {}

  /** Reads a row; answered by {@link OwnershipEvent.RowRead}. */
  record ReadRow(CellId cell, long readId) implements OwnershipEffect {}

  /**
   * Writes a row if the table holds the expected version of it; answered by {@link
   * OwnershipEvent.RowWritten}.
   *
   * @param cell the cell
   * @param expectedVersion version that the write depends on; zero if there must be no row
   * @param row the row to write; it holds the operation id
   */
  record WriteRow(CellId cell, long expectedVersion, CellRow row) implements OwnershipEffect {}

  /** Sends an order to an upstream; it may be lost, late or doubled. */
  record SendOrder(UpstreamId upstream, UpstreamOrder order) implements OwnershipEffect {}

  /** Tells routers and other controllers of a row that stands in the table. */
  record PublishRow(CellRow row) implements OwnershipEffect {}

  /** Hands the idempotency claims of a sealed voter to the claims part of this voter. */
  record DeliverClaims(CellId cell, long termNumber, List<String> claims)
      implements OwnershipEffect {}

  /** Records a decision. */
  record Log(Decision decision) implements OwnershipEffect {}
}
