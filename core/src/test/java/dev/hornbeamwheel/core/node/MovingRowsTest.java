package dev.hornbeamwheel.core.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.Assignment;
import dev.hornbeamwheel.core.ownership.Assignments;
import dev.hornbeamwheel.core.ownership.CellRow;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class MovingRowsTest {
  private static final UpstreamId OLD = UpstreamId.of("old");
  private static final UpstreamId NEW = UpstreamId.of("new");

  private final MovingRows moving = new MovingRows();

  @Test
  void holdsRequestsBackForATimeAndOnceOnly() {
    CellRow row = row(4, Optional.of(OLD));
    moving.learned(1_000, row);

    assertThat(moving.due(1_000 + MovingRows.HOLD_BACK_MILLIS - 1)).isEmpty();
    assertThat(moving.due(1_000 + MovingRows.HOLD_BACK_MILLIS)).containsExactly(row);
    assertThat(moving.due(10_000)).isEmpty();
  }

  @Test
  void forgetsARowWhoseMoveHasEnded() {
    moving.learned(1_000, row(4, Optional.of(OLD)));
    moving.learned(1_100, row(5, Optional.empty()));

    assertThat(moving.due(10_000)).isEmpty();
  }

  @Test
  void theLaterFormOfARowOverridesTheEarlierAndNamesTheNewOwner() {
    CellRow row = row(4, Optional.of(OLD));
    var heldBack = RowForms.routing(row, true);
    var tried = RowForms.routing(row, false);

    assertThat(heldBack.moving(0)).isTrue();
    assertThat(tried.moving(0)).isFalse();
    assertThat(tried.owners().get(tried.owner(0))).isEqualTo(NEW);
    assertThat(tried.rowVersion()).isGreaterThan(heldBack.rowVersion());
    assertThat(RowForms.routing(row(5, Optional.empty()), true).rowVersion())
        .isGreaterThan(tried.rowVersion());
  }

  private static CellRow row(long version, Optional<UpstreamId> previous) {
    Assignment assignment = new Assignment(Slice.ofShard(0), NEW, Epoch.of(2), previous);
    return new CellRow(
        CellId.of(ServiceId.of("baymap"), 0),
        version,
        1,
        DataCentreId.of("ayutthaya"),
        List.of(),
        List.of(),
        List.of(),
        Assignments.of(List.of(assignment)),
        "op");
  }
}
