package dev.hornbeamwheel.router.http;

/** What checking a request gave. */
sealed interface RequestCheck {
  /** The request may be routed. */
  record Accepted(CallerRequest request) implements RequestCheck {}

  /** The request is refused. */
  record Refused(RequestProblem problem) implements RequestCheck {}
}
