package dev.hornbeamwheel.core.routing;

/** Outcome of a request, as reported to the caller. */
public enum Outcome {
  /** The request ran and its whole response is forwarded. */
  COMPLETED,
  /** The request did not run and never will; a retry is safe. */
  NOT_RUN,
  /** The request may have run. */
  UNKNOWN
}
