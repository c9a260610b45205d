package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.slots.Completion;

/**
 * How an attempt at an upstream ended.
 *
 * @param completion what the upstream did
 * @param status HTTP status of the answer; zero if there was none
 * @param relativeWorkPercent how long work takes there, in percent of the usual; zero if unknown
 */
public record AttemptResult(Completion completion, int status, int relativeWorkPercent) {
  /** Returns the result of an attempt without an answer. */
  public static AttemptResult withoutResponse(Completion completion) {
    return new AttemptResult(completion, 0, 0);
  }
}
