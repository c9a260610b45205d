package dev.hornbeamwheel.core.host.keys;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** How long an upstream may hold keys, by what became of the grants. */
final class GrantTrackerTest {
  private static final long HOLD = 4_000;
  private static final long SLOWEST_HOLD = 4_080;

  @Test
  void aGrantThatABusyProcessResetLateMayHaveArrivedUntilThen() {
    GrantTracker clock = GrantTracker.neverGranted();
    clock.sent(0, 1, HOLD);
    long resetMillis = GrantTracker.CALL_TIMEOUT_MILLIS + 900;

    clock.unanswered(resetMillis, 1);

    assertThat(clock.expired(resetMillis + SLOWEST_HOLD)).isFalse();
    assertThat(clock.expired(resetMillis + SLOWEST_HOLD + 101)).isTrue();
  }

  @Test
  void nothingHasSurelyEndedWhileAGrantIsOpen() {
    GrantTracker clock = GrantTracker.neverGranted();
    clock.sent(0, 1, HOLD);

    assertThat(clock.expired(100_000)).isFalse();
  }

  @Test
  void aRefusedGrantHoldsNothing() {
    GrantTracker clock = GrantTracker.neverGranted();
    clock.sent(0, 1, HOLD);

    clock.refused(1);

    assertThat(clock.expired(1)).isTrue();
  }

  @Test
  void anAnsweredGrantIsSurelyHeldForItsTimeFromTheSending() {
    GrantTracker clock = GrantTracker.neverGranted();
    clock.sent(0, 1, HOLD);

    clock.answered(500, 1);

    assertThat(clock.hasConfirmedGrant(HOLD - 1)).isTrue();
    assertThat(clock.hasConfirmedGrant(HOLD)).isFalse();
    assertThat(clock.expired(500 + SLOWEST_HOLD)).isFalse();
  }
}
