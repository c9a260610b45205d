package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import java.util.List;

/**
 * What is left to do about a stored table of an earlier era, which may lack the latest owners.
 *
 * <p>The owners in memory are written again. A coordinator that has none in memory takes the table
 * once no earlier grant can be in force, and gives each owner a fencing token of the new era before
 * it sends any order: an upstream that the table does not name may have seen a greater one.
 */
final class TableRestore {
  private KeyOwnerCache toldOwners = KeyOwnerCache.empty();
  private boolean readDue;
  private boolean rewriteDue;
  private boolean tokensUncertain;

  /** Sets the owners as this host was last told. */
  void toldOwners(KeyOwnerCache owners) {
    toldOwners = owners;
  }

  /** Records that the store was restored; the table is to be read. */
  void storeRestored() {
    readDue = true;
  }

  /** Records that the table was read. */
  void tableRead() {
    readDue = false;
  }

  boolean readDue() {
    return readDue;
  }

  /** Records that the ranges in memory are to be written again. */
  void rewrite() {
    rewriteDue = true;
  }

  /**
   * Returns the ranges to start with from a table of an earlier era, which are to be written again
   * before any order is sent.
   *
   * @param grants the grants that earlier coordinators may have sent; all have expired
   */
  OwnedRanges adopt(KeyTable table, Catalog catalog, GrantTracker grants) {
    List<OwnedRange> ranges =
        new RestoredTable(table, toldOwners, catalog)
            .assignments().stream()
                .map(assignment -> OwnedRange.inherited(assignment, grants))
                .toList();
    tokensUncertain = !ranges.isEmpty();
    return OwnedRanges.of(ranges);
  }

  /** Records that the ranges in memory and the stored table agree. */
  void tableStored() {
    rewriteDue = false;
    tokensUncertain = false;
  }

  boolean rewriteDue() {
    return rewriteDue;
  }

  /** Returns whether orders may be sent. */
  boolean mayOrder() {
    return !tokensUncertain;
  }

  /**
   * Returns the proposal that writes the ranges again.
   *
   * @param fencingToken first of the fencing tokens that the proposal may use
   */
  TableProposal proposal(long nowMillis, List<OwnedRange> ranges, long fencingToken) {
    return tokensUncertain
        ? TableProposal.withNewTokens(ranges, fencingToken)
        : TableProposal.withMoves(nowMillis, ranges, List.of(), fencingToken);
  }
}
