package dev.hornbeamwheel.standins.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.ColdStart;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ColdStartGuardTest {
  private final ColdStartGuard guard = new ColdStartGuard(new ColdStart(2, 100, 10_000), false);

  @Test
  void aColdUpstreamBearsItsInitialRate() {
    assertThat(admitted(0)).isEqualTo(2);
    assertThat(admitted(1000)).isEqualTo(2);
  }

  @Test
  void theRateRisesFromTheFirstCompletionOn() {
    guard.completed(0);
    assertThat(admitted(5_000)).isEqualTo(51);
    assertThat(admitted(10_000)).isEqualTo(1000);
  }

  @Test
  void anUpstreamCanTurnColdAgain() {
    guard.completed(0);
    admitted(10_000);
    guard.turnCold();
    assertThat(admitted(20_000)).isEqualTo(2);
  }

  private long admitted(long nowMillis) {
    return LongStream.range(0, 1000).filter(i -> guard.tryAdmit(nowMillis)).count();
  }
}
