package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;

/**
 * Reply of an upstream to an {@link UpstreamOrder}.
 *
 * @param cell cell of the order
 * @param orderId number of the order
 * @param incarnation the upstream's incarnation
 * @param clockMillis the upstream's monotonic clock when it handled the order
 * @param outcome whether it executed the order, or why it rejected it
 * @param setVersion version of the set of slices that it now holds of the cell; zero if it holds
 *     none
 * @param running requests still running on slices revoked by this or an earlier {@link
 *     UpstreamOrder.Release}
 */
public record UpstreamReply(
    CellId cell,
    long orderId,
    Incarnation incarnation,
    long clockMillis,
    Outcome outcome,
    long setVersion,
    int running) {
  /** Result of an order. */
  public enum Outcome {
    /** The order was executed. */
    DONE,
    /** The order came from an older term than the upstream has seen. */
    STALE_TERM,
    /** The order had expired when it arrived. */
    EXPIRED,
    /** The order was addressed to another incarnation. */
    OTHER_INCARNATION
  }
}
