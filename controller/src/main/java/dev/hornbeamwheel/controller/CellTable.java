package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.ownership.OwnershipEffect;
import dev.hornbeamwheel.core.ownership.OwnershipEvent;
import dev.hornbeamwheel.core.ownership.RowReadResult;
import dev.hornbeamwheel.core.ownership.RowWriteResult;
import dev.hornbeamwheel.platform.OperationId;
import dev.hornbeamwheel.platform.PlatformFailure;
import dev.hornbeamwheel.platform.ReadResult;
import dev.hornbeamwheel.platform.TableClient;
import dev.hornbeamwheel.platform.WriteResult;
import dev.hornbeamwheel.platform.store.CellRowCodec;
import dev.hornbeamwheel.runtime.member.NodeInbox;
import dev.hornbeamwheel.runtime.member.PlatformErrors;

/** Reads and writes the rows of cells and posts the outcome. */
final class CellTable {
  private final TableClient table;
  private final NodeInbox inbox;
  private final PlatformErrors errors;
  private final CellRowCodec codec = CellRowCodec.create();

  CellTable(TableClient table, NodeInbox inbox, PlatformErrors errors) {
    this.table = table;
    this.inbox = inbox;
    this.errors = errors;
  }

  void read(OwnershipEffect.ReadRow read) {
    CellId cell = read.cell();
    var unused =
        table
            .read(cell.rowName())
            .thenAccept(
                result -> {
                  RowReadResult row = row(cell, result);
                  inbox.post(
                      now ->
                          new NodeEvent.Ownership(
                              new OwnershipEvent.RowRead(now, cell, read.readId(), row)));
                });
  }

  void write(OwnershipEffect.WriteRow write) {
    OperationId operation = OperationId.of(write.row().operationId());
    var unused =
        table
            .write(
                write.cell().rowName(),
                write.expectedVersion(),
                codec.encode(write.row()),
                operation)
            .thenAccept(
                result -> {
                  RowWriteResult outcome = outcome(operation, result);
                  inbox.post(
                      now ->
                          new NodeEvent.Ownership(
                              new OwnershipEvent.RowWritten(
                                  now, write.cell(), operation.value(), outcome)));
                });
  }

  private RowReadResult row(CellId cell, ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      try {
        return new RowReadResult.Found(codec.decode(cell, found.row().value()));
      } catch (IllegalArgumentException e) {
        errors.unreadableRow(cell.rowName(), e);
        return new RowReadResult.Unavailable();
      }
    }
    if (result instanceof PlatformFailure failure) {
      errors.count(failure);
      return new RowReadResult.Unavailable();
    }
    return new RowReadResult.Absent();
  }

  private RowWriteResult outcome(OperationId operation, WriteResult result) {
    if (result instanceof PlatformFailure failure) {
      errors.count(failure);
    }
    if (result instanceof WriteResult.Conflict conflict) {
      return conflict.currentOperation().equals(operation)
          ? new RowWriteResult.Written()
          : new RowWriteResult.Conflict();
    }
    if (result instanceof WriteResult.Unavailable) {
      return new RowWriteResult.Unavailable();
    }
    return result instanceof WriteResult.Written
        ? new RowWriteResult.Written()
        : new RowWriteResult.Unknown();
  }
}
