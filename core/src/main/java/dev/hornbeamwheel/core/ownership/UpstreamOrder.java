package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.Term;
import java.util.List;

/**
 * A command from the leader of a cell to an upstream.
 *
 * <p>With either fencing kind, an upstream rejects an order that is addressed to another
 * incarnation or that has expired by its own clock. With checked fencing, it also rejects an order
 * from an older term than it has seen for the cell.
 */
public sealed interface UpstreamOrder {
  /** Returns the cell. */
  CellId cell();

  /** Returns the order's number, echoed in the reply. */
  long orderId();

  /**
   * Requests the upstream's incarnation and clock, without side effects.
   *
   * @param cell the cell
   * @param orderId number that the reply repeats
   */
  record ReadClock(CellId cell, long orderId) implements UpstreamOrder {}

  /**
   * Extends the lease on all slices of the cell that the upstream holds; an expired lease stays
   * expired.
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
   * Replaces the set of slices of the cell that the upstream holds.
   *
   * @param cell the cell
   * @param orderId number that the reply repeats
   * @param term the leader's term
   * @param target incarnation of the upstream
   * @param expiresAtMillis reading of the upstream's clock at which lease and order expire
   * @param setVersion version of the set, echoed in later replies
   * @param grants the complete set of slices with their epochs
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
   * Revokes slices: the upstream admits no more requests for them and lets running ones finish.
   *
   * @param cell the cell
   * @param orderId number that the reply repeats
   * @param term the leader's term
   * @param target incarnation of the upstream
   * @param expiresAtMillis reading of the upstream's clock at which the order expires; the lease on
   *     the remaining slices is extended to it
   * @param setVersion version of the remaining set, echoed in later replies
   * @param slices the slices to revoke
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
