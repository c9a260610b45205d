package dev.hornbeamwheel.core.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class LoadBoardTest {
  private static final ServiceId SERVICE = ServiceId.of("baymap");
  private static final Slice SLICE = Slice.ofShard(1);

  private final LoadBoard board = new LoadBoard();

  @Test
  void addsTheLatestReportsOfAllRouters() {
    board.add(1_000, report("a", 9));
    board.add(1_500, report("a", 2));
    board.add(1_500, report("b", 3));

    assertThat(board.sumsDue(2_000)).isEqualTo(Map.of(SERVICE, Map.of(SLICE, 5.0)));
    assertThat(board.sumsDue(2_500)).isEmpty();
  }

  @Test
  void forgetsTheReportsOfARouterThatFellSilent() {
    board.add(1_000, report("a", 9));
    board.add(3_000, report("b", 3));

    assertThat(board.sumsDue(1_000 + LoadBoard.EXPIRY_MILLIS))
        .isEqualTo(Map.of(SERVICE, Map.of(SLICE, 3.0)));
    assertThat(board.sumsDue(10_000)).isEqualTo(Map.of(SERVICE, Map.of()));
    assertThat(board.sumsDue(20_000)).isEmpty();
  }

  private static LoadReport report(String router, double rate) {
    return new LoadReport(MemberId.of(router), SERVICE, 0, Map.of(SLICE, rate));
  }
}
