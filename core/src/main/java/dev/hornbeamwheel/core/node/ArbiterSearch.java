package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;
import java.util.Optional;

/**
 * Finds the arbiter of one group among the voters of its cell, one of which leads it.
 *
 * <p>A voter that does not lead answers nothing, so the next one is tried.
 */
final class ArbiterSearch {
  /** Time without an answer after which the next voter is tried, in milliseconds. */
  static final long PATIENCE_MILLIS = 400;

  private static final long NOT_ASKED = Long.MAX_VALUE;

  private List<MemberId> voters = List.of();
  private int current;
  private long askedAtMillis = NOT_ASKED;

  /** Returns the voter to ask; empty if no voter is known. */
  Optional<MemberId> arbiter() {
    return voters.isEmpty() ? Optional.empty() : Optional.of(voters.get(current));
  }

  /** Replaces the voters; a present arbiter that is among them stays. */
  void voters(List<MemberId> newVoters) {
    int kept = arbiter().map(newVoters::indexOf).orElse(-1);
    voters = List.copyOf(newVoters);
    current = Math.max(0, kept);
  }

  /** Notes that the voter was asked. */
  void asked(long nowMillis) {
    askedAtMillis = Math.min(askedAtMillis, nowMillis);
  }

  /** Notes that a voter answered, which shows that it leads. */
  void answered(MemberId voter) {
    askedAtMillis = NOT_ASKED;
    int index = voters.indexOf(voter);
    current = index < 0 ? current : index;
  }

  /** Turns to the next voter if the present one has not answered; returns whether it did. */
  boolean turn(long nowMillis) {
    if (voters.isEmpty() || askedAtMillis == NOT_ASKED) {
      return false;
    }
    if (nowMillis - askedAtMillis < PATIENCE_MILLIS) {
      return false;
    }
    askedAtMillis = NOT_ASKED;
    current = (current + 1) % voters.size();
    return true;
  }
}
