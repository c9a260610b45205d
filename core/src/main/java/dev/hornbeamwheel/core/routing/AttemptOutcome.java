package dev.hornbeamwheel.core.routing;

/** How one attempt at an upstream ended; each attempt ends exactly once. */
public sealed interface AttemptOutcome {
  /** The upstream answered in full, with the request's own id. */
  record Completed(int status) implements AttemptOutcome {}

  /** The upstream refused the request and certainly did not run it. */
  record Refused(Refusal refusal) implements AttemptOutcome {}

  /** No byte of the request was sent. */
  record FailedBeforeSend() implements AttemptOutcome {}

  /** The connection broke after bytes were sent and before an answer began. */
  record ConnectionLost() implements AttemptOutcome {}

  /** The deadline passed after bytes were sent. */
  record DeadlinePassed() implements AttemptOutcome {}

  /** The answer belonged to another request and was discarded. */
  record MismatchedResponse() implements AttemptOutcome {}

  /**
   * The answer began and broke off.
   *
   * @param bytesReceived body bytes received so far, including those of earlier attempts
   * @param validator strong validator of the whole body; null if the upstream gave none
   * @param connectionLost whether the connection broke, as opposed to a clean but short end
   */
  record TruncatedResponse(long bytesReceived, String validator, boolean connectionLost)
      implements AttemptOutcome {}

  /** The attempt was cancelled on request and no answer was used. */
  record Cancelled() implements AttemptOutcome {}
}
