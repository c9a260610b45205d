package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.standins.faults.Fault;
import java.util.Optional;

/** The disturbance of the next answers of an upstream. */
final class AnswerFaults {
  private Fault.DisturbAnswers order;
  private int left;

  synchronized void set(Fault.DisturbAnswers fault) {
    order = fault;
    left = fault.count();
  }

  /** Returns how the next answer is disturbed; empty if it is not. */
  synchronized Optional<Fault.DisturbAnswers> next() {
    if (left <= 0) {
      return Optional.empty();
    }
    left--;
    return Optional.of(order);
  }
}
