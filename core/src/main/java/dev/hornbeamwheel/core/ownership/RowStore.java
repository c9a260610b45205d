package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.Optional;

/**
 * Reads and writes the row of one cell, with at most one write in flight, and reads the row back
 * when the outcome of a write is unknown.
 */
final class RowStore {
  /** Time after which the response to a request is considered lost. */
  private static final long TIMEOUT_MILLIS = 1500;

  /** Delay before the next request after the table was unavailable. */
  private static final long BACKOFF_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE;

  private final CellId cell;
  private final ControllerContext context;
  private CellRow pendingRow;
  private boolean outcomeUnknown;
  private long writeStartedAt = NEVER;
  private long readStartedAt = NEVER;
  private long readId;
  private long backoffUntil = NEVER;

  RowStore(CellId cell, ControllerContext context) {
    this.cell = cell;
    this.context = context;
  }

  /** Returns whether a write may start: no request is in flight and no backoff applies. */
  boolean canWrite(long now) {
    return pendingRow == null && readStartedAt == NEVER && now >= backoffUntil;
  }

  boolean canRead(long now) {
    return readStartedAt == NEVER && now >= backoffUntil;
  }

  void read(long now) {
    if (canRead(now)) {
      readStartedAt = now;
      readId = context.nextId();
      context.outbox().add(new OwnershipEffect.ReadRow(cell, readId));
    }
  }

  /** Starts a conditional write that expects the version before the row's own. */
  void write(CellRow row, long now) {
    pendingRow = row;
    writeStartedAt = now;
    outcomeUnknown = false;
    context.outbox().add(new OwnershipEffect.WriteRow(cell, row.version() - 1, row));
  }

  /** Returns when the latest write started. */
  long writeStartedAt() {
    return writeStartedAt;
  }

  /** Returns whether this incarnation of the controller wrote a row. */
  boolean isOwnWrite(CellRow row) {
    Voter self = context.self();
    String prefix = self.member() + "/" + self.incarnation().value() + "/";
    return row.operationId().startsWith(prefix);
  }

  /** Times out pending requests and reads the row back if the outcome of a write is unknown. */
  void tick(long now) {
    if (readStartedAt != NEVER && now - readStartedAt >= TIMEOUT_MILLIS) {
      readStartedAt = NEVER;
    }
    if (pendingRow != null && !outcomeUnknown && now - writeStartedAt >= TIMEOUT_MILLIS) {
      outcomeUnknown = true;
    }
    if (outcomeUnknown) {
      read(now);
    }
  }

  /** Handles the result of a write; returns the row if it is now known to be committed. */
  Optional<CellRow> onWriteEnded(String operationId, RowWriteResult result, long now) {
    if (pendingRow == null || !pendingRow.operationId().equals(operationId)) {
      return Optional.empty();
    }
    CellRow row = pendingRow;
    if (result instanceof RowWriteResult.Written) {
      pendingRow = null;
      outcomeUnknown = false;
      return Optional.of(row);
    }
    if (result instanceof RowWriteResult.Unavailable) {
      pendingRow = null;
      backoffUntil = now + BACKOFF_MILLIS;
      return Optional.empty();
    }
    outcomeUnknown = true;
    read(now);
    return Optional.empty();
  }

  /**
   * Handles the result of a read; returns when the read started, or empty if the response is late
   * or the table was unavailable.
   */
  Optional<Long> onReadEnded(long id, RowReadResult result, long now) {
    if (readStartedAt == NEVER || id != readId) {
      return Optional.empty();
    }
    long startedAt = readStartedAt;
    readStartedAt = NEVER;
    if (result instanceof RowReadResult.Unavailable) {
      backoffUntil = now + BACKOFF_MILLIS;
      return Optional.empty();
    }
    if (outcomeUnknown && startedAt >= writeStartedAt) {
      pendingRow = null;
      outcomeUnknown = false;
    }
    return Optional.of(startedAt);
  }
}
