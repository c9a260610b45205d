package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.TermsClosed;

/**
 * Notifies the voters of a cell that its earlier term numbers are closed, until they are sealed.
 */
final class CloseNotice {
  /** Interval between notices after the first {@link #REPEATS}. */
  private static final long INTERVAL_MILLIS = 500;

  /** Number of notices on consecutive ticks, since messages may be lost. */
  private static final int REPEATS = 4;

  private final ControllerContext context;
  private final CellId cell;
  private long closedTermNumber;
  private int repeatsLeft;
  private long sentAt;

  CloseNotice(ControllerContext context, CellId cell) {
    this.context = context;
    this.cell = cell;
  }

  /** Starts to notify that a term number and all earlier ones are closed. */
  void start(long termNumber) {
    closedTermNumber = termNumber;
    repeatsLeft = REPEATS;
  }

  /**
   * Sends a notice if one is due; stops once this controller leads again or the row has no unsealed
   * predecessors.
   */
  void tick(CellRow row, boolean leading, long now) {
    if (row.unsealed().isEmpty() || closedTermNumber == 0 || leading) {
      closedTermNumber = 0;
      return;
    }
    if (repeatsLeft == 0 && now - sentAt < INTERVAL_MILLIS) {
      return;
    }
    repeatsLeft = Math.max(0, repeatsLeft - 1);
    sentAt = now;
    send(row);
  }

  private void send(CellRow row) {
    MemberId successor = context.topology().rank(cell, row.voters()).get(0).member();
    TermsClosed notice = new TermsClosed(closedTermNumber, row, successor);
    row.voters().forEach(voter -> context.outbox().send(voter.member(), notice));
  }
}
