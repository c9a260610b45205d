package dev.hornbeamwheel.router.http;

import dev.hornbeamwheel.core.routing.Outcome;

/** The form of an outcome that the outcome header and problem documents carry. */
final class OutcomeText {
  private OutcomeText() {}

  static String of(Outcome outcome) {
    return switch (outcome) {
      case COMPLETED -> "completed";
      case NOT_RUN -> "not-run";
      case UNKNOWN -> "unknown";
    };
  }
}
