package dev.hornbeamwheel.controller;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.ownership.OwnershipEffect;
import dev.hornbeamwheel.core.ownership.OwnershipEvent;
import dev.hornbeamwheel.core.ownership.RowReadResult;
import dev.hornbeamwheel.core.ownership.RowWriteResult;
import dev.hornbeamwheel.platform.Bytes;
import dev.hornbeamwheel.platform.OperationId;
import dev.hornbeamwheel.platform.ReadResult;
import dev.hornbeamwheel.platform.TableRow;
import dev.hornbeamwheel.platform.WriteResult;
import dev.hornbeamwheel.runtime.member.PlatformErrors;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class CellTableTest {
  private static final OwnershipEffect.ReadRow READ = new OwnershipEffect.ReadRow(Samples.CELL, 7);
  private static final OwnershipEffect.WriteRow WRITE =
      new OwnershipEffect.WriteRow(Samples.CELL, 0, Samples.row());

  private final FakePlatform platform = new FakePlatform();
  private final List<NodeEvent> events = new ArrayList<>();
  private final CellTable table =
      new CellTable(
          platform, event -> events.add(event.apply(1)), new PlatformErrors(Metrics.empty()));

  @Test
  void readsBackWhatItWrote() {
    table.read(READ);
    table.write(WRITE);
    table.read(READ);

    assertThat(events)
        .containsExactly(
            read(new RowReadResult.Absent()),
            written(new RowWriteResult.Written()),
            read(new RowReadResult.Found(Samples.row())));
  }

  @Test
  void tellsEachOutcomeOfAWriteApart() {
    platform.nextWrite = Optional.of(new WriteResult.Conflict(1, OperationId.of("op-1")));
    table.write(WRITE);
    platform.nextWrite = Optional.of(new WriteResult.Conflict(1, OperationId.of("other")));
    table.write(WRITE);
    platform.nextWrite = Optional.of(new WriteResult.Unavailable("down"));
    table.write(WRITE);
    platform.nextWrite = Optional.of(new WriteResult.Unknown("lost"));
    table.write(WRITE);

    assertThat(events)
        .containsExactly(
            written(new RowWriteResult.Written()),
            written(new RowWriteResult.Conflict()),
            written(new RowWriteResult.Unavailable()),
            written(new RowWriteResult.Unknown()));
  }

  @Test
  void takesAnUnreadableRowForAnUnavailableOne() {
    platform.nextRead =
        Optional.of(
            new ReadResult.Found(
                new TableRow("cell", 1, OperationId.NONE, Bytes.ofUtf8("no row"))));
    table.read(READ);
    platform.nextRead = Optional.of(new ReadResult.Unavailable("down"));
    table.read(READ);

    assertThat(events)
        .containsExactly(
            read(new RowReadResult.Unavailable()), read(new RowReadResult.Unavailable()));
  }

  private static NodeEvent read(RowReadResult result) {
    return new NodeEvent.Ownership(new OwnershipEvent.RowRead(1, Samples.CELL, 7, result));
  }

  private static NodeEvent written(RowWriteResult result) {
    return new NodeEvent.Ownership(new OwnershipEvent.RowWritten(1, Samples.CELL, "op-1", result));
  }
}
