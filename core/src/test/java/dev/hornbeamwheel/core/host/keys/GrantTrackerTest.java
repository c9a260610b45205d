package dev.hornbeamwheel.core.host.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the bounds on how long an upstream may hold a range, by the results of its grants. */
final class GrantTrackerTest {
  private static final long HOLD_MILLIS = 4_000;
  private static final long TOKEN = 7;
  private static final long HOLD_ON_SLOW_CLOCK_MILLIS = 4_080;

  @Test
  void aGrantMayHaveArrivedUntilABusyProcessResetItsCall() {
    GrantTracker tracker = GrantTracker.neverGranted();
    tracker.sent(0, 1, TOKEN, HOLD_MILLIS);
    long resetMillis = GrantTracker.CALL_TIMEOUT_MILLIS + 900;

    tracker.unanswered(resetMillis, 1);

    assertThat(tracker.expired(resetMillis + HOLD_ON_SLOW_CLOCK_MILLIS)).isFalse();
    assertThat(tracker.expired(resetMillis + HOLD_ON_SLOW_CLOCK_MILLIS + 101)).isTrue();
  }

  @Test
  void noExpiryIsCertainWhileAGrantIsInFlight() {
    GrantTracker tracker = GrantTracker.neverGranted();
    tracker.sent(0, 1, TOKEN, HOLD_MILLIS);

    assertThat(tracker.expired(100_000)).isFalse();
  }

  @Test
  void aRefusedGrantDoesNotExtendTheHold() {
    GrantTracker tracker = GrantTracker.neverGranted();
    tracker.sent(0, 1, TOKEN, HOLD_MILLIS);

    tracker.refused(1);

    assertThat(tracker.expired(1)).isTrue();
  }

  @Test
  void anAnsweredGrantIsConfirmedForItsHoldTimeAfterSending() {
    GrantTracker tracker = GrantTracker.neverGranted();
    tracker.sent(0, 1, TOKEN, HOLD_MILLIS);

    tracker.answered(500, 1, true);

    assertThat(tracker.hasConfirmedGrant(HOLD_MILLIS - 1)).isTrue();
    assertThat(tracker.hasConfirmedGrant(HOLD_MILLIS)).isFalse();
    assertThat(tracker.expired(500 + HOLD_ON_SLOW_CLOCK_MILLIS)).isFalse();
  }

  // Guards against two owners of a key after a jump of the local clock, which no upstream sees.
  @Test
  void allExpiriesArePostponedWhenTheLocalClockJumps() {
    long jump = 60_000;
    GrantTracker answered = GrantTracker.neverGranted();
    answered.sent(0, 1, TOKEN, HOLD_MILLIS);
    answered.answered(1, 1, true);
    GrantTracker unanswered = GrantTracker.neverGranted();
    unanswered.sent(0, 2, TOKEN, HOLD_MILLIS);
    unanswered.unanswered(GrantTracker.CALL_TIMEOUT_MILLIS, 2);
    GrantTracker inherited = GrantTracker.grantedUntil(HOLD_ON_SLOW_CLOCK_MILLIS, 1_000);
    GrantTracker inFlight = GrantTracker.neverGranted();
    inFlight.sent(0, 3, TOKEN, HOLD_MILLIS);
    long inFlightExpiry = inFlight.latestExpiryMillis();

    List.of(answered, unanswered, inherited, inFlight).forEach(tracker -> tracker.postpone(jump));

    assertThat(answered.expired(jump + HOLD_ON_SLOW_CLOCK_MILLIS)).isFalse();
    assertThat(unanswered.unansweredExpiryMillis())
        .isGreaterThanOrEqualTo(
            jump + GrantTracker.CALL_TIMEOUT_MILLIS + HOLD_ON_SLOW_CLOCK_MILLIS);
    assertThat(inherited.mayBeInFlight(jump + 1_000)).isTrue();
    assertThat(inherited.expired(jump + HOLD_ON_SLOW_CLOCK_MILLIS)).isFalse();
    assertThat(inFlight.latestExpiryMillis()).isEqualTo(inFlightExpiry + jump);
    assertThat(GrantTracker.neverGranted().expired(0)).isTrue();
  }
}
