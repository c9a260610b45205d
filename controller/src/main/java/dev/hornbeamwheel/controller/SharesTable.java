package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.core.limits.ArbiterEvent;
import dev.hornbeamwheel.core.limits.ContractGroups;
import dev.hornbeamwheel.core.limits.LimitsEffect;
import dev.hornbeamwheel.core.limits.SharesRow;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.platform.OperationId;
import dev.hornbeamwheel.platform.PlatformFailure;
import dev.hornbeamwheel.platform.ReadResult;
import dev.hornbeamwheel.platform.TableClient;
import dev.hornbeamwheel.platform.WriteResult;
import dev.hornbeamwheel.platform.store.SharesRowCodec;
import dev.hornbeamwheel.runtime.member.NodeInbox;
import dev.hornbeamwheel.runtime.member.PlatformErrors;
import java.util.function.LongFunction;

/** Reads and writes the rows that divide contracts over data centres, and posts the outcome. */
final class SharesTable {
  private final TableClient table;
  private final NodeInbox inbox;
  private final PlatformErrors errors;
  private final SharesRowCodec codec = SharesRowCodec.create();

  SharesTable(TableClient table, NodeInbox inbox, PlatformErrors errors) {
    this.table = table;
    this.inbox = inbox;
    this.errors = errors;
  }

  void perform(LimitsEffect effect) {
    if (effect instanceof LimitsEffect.ReadRow read) {
      var unused =
          table
              .read(ContractGroups.rowName(read.group()))
              .thenAccept(result -> post(read.group(), readOutcome(read, result)));
    } else if (effect instanceof LimitsEffect.WriteRow write) {
      write(write);
    }
  }

  private void write(LimitsEffect.WriteRow write) {
    OperationId operation = OperationId.random();
    String name = ContractGroups.rowName(write.row().group());
    var unused =
        table
            .write(name, write.expectedVersion(), codec.encode(write.row()), operation)
            .thenAccept(
                result -> post(write.row().group(), writeOutcome(write, operation, result)));
  }

  private void post(int group, LongFunction<ArbiterEvent> event) {
    inbox.post(now -> new NodeEvent.Arbiter(group, event.apply(now)));
  }

  private LongFunction<ArbiterEvent> readOutcome(LimitsEffect.ReadRow read, ReadResult result) {
    if (result instanceof ReadResult.Absent) {
      return now -> new ArbiterEvent.RowRead(now, read.attempt(), SharesRow.initial(read.group()));
    }
    if (result instanceof ReadResult.Found found) {
      try {
        SharesRow row = codec.decode(found.row().value());
        return now -> new ArbiterEvent.RowRead(now, read.attempt(), row);
      } catch (IllegalArgumentException e) {
        errors.unreadableRow(ContractGroups.rowName(read.group()), e);
      }
    } else {
      errors.count((PlatformFailure) result);
    }
    return now -> new ArbiterEvent.RowUncertain(now, read.attempt());
  }

  private LongFunction<ArbiterEvent> writeOutcome(
      LimitsEffect.WriteRow write, OperationId operation, WriteResult result) {
    if (result instanceof PlatformFailure failure) {
      errors.count(failure);
    }
    boolean written =
        result instanceof WriteResult.Written
            || (result instanceof WriteResult.Conflict conflict
                && conflict.currentOperation().equals(operation));
    return written
        ? now -> new ArbiterEvent.RowWritten(now, write.attempt(), write.row())
        : now -> new ArbiterEvent.RowUncertain(now, write.attempt());
  }
}
