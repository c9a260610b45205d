package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.Optional;

/** Reads and writes the row of one cell, one request at a time, and settles lost answers. */
final class RowStore {
  /** Time after which a request without an answer counts as lost, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1500;

  /** Pause after the table was unavailable, in milliseconds. */
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

  /** Returns whether a read or write may start. */
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

  /** Starts a conditional write; the row's version is one more than the expected one. */
  void write(CellRow row, long now) {
    pendingRow = row;
    writeStartedAt = now;
    outcomeUnknown = false;
    context.outbox().add(new OwnershipEffect.WriteRow(cell, row.version() - 1, row));
  }

  /** Returns when the latest write was started. */
  long writeStartedAt() {
    return writeStartedAt;
  }

  /** Returns whether this start of this controller wrote a row. */
  boolean isOwnWrite(CellRow row) {
    Voter self = context.self();
    String prefix = self.member() + "/" + self.incarnation().value() + "/";
    return row.operationId().startsWith(prefix);
  }

  /** Treats requests without an answer as lost and reads back a write in doubt. */
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

  /** Ends a write; returns the row if it is now known to stand. */
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

  /** Ends a read; returns when it was started, empty if it is a late answer. */
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
