package dev.hornbeamwheel.core.routing;

/** Result of one attempt at an upstream; each attempt ends exactly once. */
public sealed interface AttemptOutcome {
  /** The upstream sent a complete response with the matching request id. */
  record Completed(int status) implements AttemptOutcome {}

  /** The upstream refused the request and did not run it. */
  record Refused(Refusal refusal) implements AttemptOutcome {}

  /** No byte of the request was sent. */
  record FailedBeforeSend() implements AttemptOutcome {}

  /** The connection was lost after bytes were sent and before a response started. */
  record ConnectionLost() implements AttemptOutcome {}

  /** The deadline passed after bytes of the request were sent. */
  record DeadlinePassed() implements AttemptOutcome {}

  /** The response belonged to another request and was discarded. */
  record MismatchedResponse() implements AttemptOutcome {}

  /**
   * The response started but was truncated.
   *
   * @param bytesReceived body bytes received so far, including those of earlier attempts
   * @param validator strong validator of the whole body; null if the upstream gave none
   * @param connectionLost whether the connection was lost, as opposed to a clean but early end
   */
  record TruncatedResponse(long bytesReceived, String validator, boolean connectionLost)
      implements AttemptOutcome {}

  /** The attempt was cancelled by the router and its response was not used. */
  record Cancelled() implements AttemptOutcome {}
}
