package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.CellId;
import java.util.Optional;

/** Reads and writes the row of one cell, one request at a time, and settles lost answers. */
final class RowStore {
  /** Time after which a request without an answer counts as lost, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1500;

  /** Pause after the table was unavailable, in milliseconds. */
  private static final long PAUSE_MILLIS = 300;

  private static final long IDLE = Long.MIN_VALUE;

  private final CellId cell;
  private final Context context;
  private CellRow writing;
  private boolean doubtful;
  private long writtenAt = IDLE;
  private long readAt = IDLE;
  private long readId;
  private long pauseUntil = IDLE;

  RowStore(CellId cell, Context context) {
    this.cell = cell;
    this.context = context;
  }

  /** Returns whether a read or write may start. */
  boolean idle(long now) {
    return writing == null && readAt == IDLE && now >= pauseUntil;
  }

  boolean idleToRead(long now) {
    return readAt == IDLE && now >= pauseUntil;
  }

  void read(long now) {
    if (idleToRead(now)) {
      readAt = now;
      readId = context.nextId();
      context.outbox().add(new OwnershipEffect.ReadRow(cell, readId));
    }
  }

  /** Starts a conditional write; the row's version is one more than the expected one. */
  void write(CellRow row, long now) {
    writing = row;
    writtenAt = now;
    doubtful = false;
    context.outbox().add(new OwnershipEffect.WriteRow(cell, row.version() - 1, row));
  }

  /** Returns when the latest write was started. */
  long writtenAt() {
    return writtenAt;
  }

  /** Returns whether this start of this controller wrote a row. */
  boolean wrote(CellRow row) {
    Voter self = context.self();
    String prefix = self.member() + "/" + self.incarnation().value() + "/";
    return row.operationId().startsWith(prefix);
  }

  /** Treats requests without an answer as lost and reads back a write in doubt. */
  void tick(long now) {
    if (readAt != IDLE && now - readAt >= TIMEOUT_MILLIS) {
      readAt = IDLE;
    }
    if (writing != null && !doubtful && now - writtenAt >= TIMEOUT_MILLIS) {
      doubtful = true;
    }
    if (doubtful) {
      read(now);
    }
  }

  /** Ends a write; returns the row if it is now known to stand. */
  Optional<CellRow> written(String operationId, RowWriteResult result, long now) {
    if (writing == null || !writing.operationId().equals(operationId)) {
      return Optional.empty();
    }
    CellRow row = writing;
    if (result instanceof RowWriteResult.Written) {
      writing = null;
      doubtful = false;
      return Optional.of(row);
    }
    if (result instanceof RowWriteResult.Unavailable) {
      writing = null;
      pauseUntil = now + PAUSE_MILLIS;
      return Optional.empty();
    }
    doubtful = true;
    read(now);
    return Optional.empty();
  }

  /** Ends a read; returns when it was started, empty if it is a late answer. */
  Optional<Long> readEnded(long id, RowReadResult result, long now) {
    if (readAt == IDLE || id != readId) {
      return Optional.empty();
    }
    long startedAt = readAt;
    readAt = IDLE;
    if (result instanceof RowReadResult.Unavailable) {
      pauseUntil = now + PAUSE_MILLIS;
      return Optional.empty();
    }
    if (doubtful && startedAt >= writtenAt) {
      writing = null;
      doubtful = false;
    }
    return Optional.of(startedAt);
  }
}
