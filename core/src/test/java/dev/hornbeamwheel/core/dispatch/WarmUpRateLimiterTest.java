package dev.hornbeamwheel.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.model.UpstreamId;
import org.junit.jupiter.api.Test;

final class WarmUpRateLimiterTest {
  private static final UpstreamId UPSTREAM = UpstreamId.of("order-desk-1");

  private final WarmUpRateLimiter rateLimiter =
      new WarmUpRateLimiter(UPSTREAM, new ColdStart(10, 60, 1_000));

  @Test
  void becomesWarmOnlyThroughItsOwnCompletions() {
    assertThat(rateLimiter.canSend(60_000)).isTrue();
    assertThat(rateLimiter.warm()).isFalse();
    for (int millis = 0; millis <= 1_000; millis += 50) {
      rateLimiter.recordCompletion(60_000 + millis, 1);
    }
    assertThat(rateLimiter.warm()).isTrue();
  }

  @Test
  void isColdAgainAfterNewIncarnation() {
    warmUp();
    rateLimiter.observeIncarnation(2_000, 2);
    assertThat(rateLimiter.warmUpState()).isEqualTo(new WarmUpState(UPSTREAM, 2, 1, 10, false));
  }

  @Test
  void mergesNewerColdStartWithItsIncarnation() {
    warmUp();
    rateLimiter.merge(new WarmUpState(UPSTREAM, 2, 1, 10, false), 2_000);
    rateLimiter.observeIncarnation(2_100, 2);
    assertThat(rateLimiter.warmUpState().coldStarts()).isEqualTo(1);
  }

  private void warmUp() {
    for (int millis = 0; millis <= 2_000; millis += 50) {
      rateLimiter.recordCompletion(millis, 1);
    }
  }
}
