package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.slots.Completion;

/**
 * The result of one attempt at an upstream.
 *
 * @param completion how the attempt ended
 * @param status HTTP status of the response; zero if there was none
 * @param relativeWorkPercent current run time at the upstream, in percent of its usual run time;
 *     zero if unknown
 */
public record AttemptResult(Completion completion, int status, int relativeWorkPercent) {
  /** Returns the result of an attempt that got no response. */
  public static AttemptResult withoutResponse(Completion completion) {
    return new AttemptResult(completion, 0, 0);
  }
}
