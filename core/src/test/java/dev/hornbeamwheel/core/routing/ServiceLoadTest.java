package dev.hornbeamwheel.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.ServiceId;
import org.junit.jupiter.api.Test;

final class ServiceLoadTest {
  private static final ServiceId SERVICE = ServiceId.of("stock-ledger");

  private final ServiceLoad load = new ServiceLoad(1_024);
  private final Outbox outbox = new Outbox();

  @Test
  void reportsEachTouchedShardOnceAndTheHotKeyAmongManyOthers() {
    for (int i = 1; i <= 1_000; i++) {
      load.add(i, i, false, 2);
      load.add(5, 99_999, false, 3);
    }
    load.report(SERVICE, outbox);
    assertThat(outbox.drain())
        .hasSize(1_001)
        .contains(
            new RoutingEffect.ReportLoad(SERVICE, 5, 0, 1_001, 3_002),
            new RoutingEffect.ReportLoad(SERVICE, 5, 99_999, 1_000, 3_000));
  }

  @Test
  void startsOverAfterEachReport() {
    load.add(1, 1, false, 2);
    load.report(SERVICE, outbox);
    outbox.drain();
    load.report(SERVICE, outbox);
    assertThat(outbox.drain()).isEmpty();
  }

  @Test
  void countsAnIsolatedKeyForItselfOnly() {
    load.add(1, 7, true, 2);
    load.report(SERVICE, outbox);
    assertThat(outbox.drain()).containsExactly(new RoutingEffect.ReportLoad(SERVICE, 1, 7, 1, 2));
  }
}
