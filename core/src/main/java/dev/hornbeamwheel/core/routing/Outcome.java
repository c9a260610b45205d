package dev.hornbeamwheel.core.routing;

/** What a caller is told of its request. */
public enum Outcome {
  /** The request ran and its whole answer is passed on. */
  COMPLETED,
  /** The request did not run and never will; a retry is safe. */
  NOT_RUN,
  /** The request may have run. */
  UNKNOWN
}
