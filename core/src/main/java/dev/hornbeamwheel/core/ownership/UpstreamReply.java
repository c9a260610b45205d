package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;

/**
 * Reply of an upstream to one order.
 *
 * @param cell the cell of the order
 * @param orderId number of the order
 * @param incarnation the upstream's incarnation
 * @param clockMillis the upstream's monotonic clock when it obeyed or refused the order
 * @param outcome whether it obeyed
 * @param setVersion names the set that it now holds of the cell; zero if it holds none
 * @param running requests still running of the slices that a {@link UpstreamOrder.Release} named,
 *     also of an earlier one
 */
public record UpstreamReply(
    CellId cell,
    long orderId,
    Incarnation incarnation,
    long clockMillis,
    Outcome outcome,
    long setVersion,
    int running) {
  /** Whether an order was obeyed. */
  public enum Outcome {
    /** The order was obeyed. */
    DONE,
    /** The order came from an older term. */
    STALE_TERM,
    /** The order had expired on arrival. */
    EXPIRED,
    /** The order was addressed to another incarnation. */
    OTHER_INCARNATION
  }
}
