package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.Term;
import java.util.List;

/**
 * An order of a cell's leader to an upstream.
 *
 * <p>An upstream of either fencing kind refuses an order that is addressed to another incarnation
 * or whose expiry its own clock has reached. With checked fencing it also refuses an order of an
 * older term than it has seen for the cell.
 */
public sealed interface UpstreamOrder {
  /** Returns the cell. */
  CellId cell();

  /** Returns the number that the reply repeats. */
  long orderId();

  /**
   * Asks for the incarnation and the clock; changes nothing.
   *
   * @param cell the cell
   * @param orderId number that the reply repeats
   */
  record ReadClock(CellId cell, long orderId) implements UpstreamOrder {}

  /**
   * Extends the lease of whatever the upstream holds of the cell; a lapsed lease stays lapsed.
   *
   * @param cell the cell
   * @param orderId number that the reply repeats
   * @param term the leader's term
   * @param target incarnation of the upstream
   * @param expiresAtMillis reading of the upstream's clock at which lease and order expire
   */
  record Renew(CellId cell, long orderId, Term term, Incarnation target, long expiresAtMillis)
      implements UpstreamOrder {}

  /**
   * Makes the given slices all that the upstream holds of the cell.
   *
   * @param cell the cell
   * @param orderId number that the reply repeats
   * @param term the leader's term
   * @param target incarnation of the upstream
   * @param expiresAtMillis reading of the upstream's clock at which lease and order expire
   * @param setVersion names the set; later replies repeat it
   * @param grants the slices
   */
  record Replace(
      CellId cell,
      long orderId,
      Term term,
      Incarnation target,
      long expiresAtMillis,
      long setVersion,
      List<SliceGrant> grants)
      implements UpstreamOrder {}

  /**
   * Takes slices from the upstream: it admits no request of them and lets running ones end.
   *
   * @param cell the cell
   * @param orderId number that the reply repeats
   * @param term the leader's term
   * @param target incarnation of the upstream
   * @param expiresAtMillis reading of the upstream's clock at which the order expires; the lease of
   *     the other slices is extended to it
   * @param setVersion names the set that remains; later replies repeat it
   * @param slices the slices
   */
  record Release(
      CellId cell,
      long orderId,
      Term term,
      Incarnation target,
      long expiresAtMillis,
      long setVersion,
      List<Slice> slices)
      implements UpstreamOrder {}
}
