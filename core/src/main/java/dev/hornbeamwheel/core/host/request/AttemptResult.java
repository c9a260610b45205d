package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.slots.Completion;
import java.util.Set;

/**
 * The result of one attempt at an upstream.
 *
 * @param completion how the attempt ended
 * @param status HTTP status of the response; zero if there was none
 * @param relativeWorkPercent current run time at the upstream, in percent of its usual run time;
 *     zero if unknown
 * @param notice what the upstream said of itself
 */
public record AttemptResult(
    Completion completion, int status, int relativeWorkPercent, UpstreamNotice notice) {
  /** Statuses that tell a caller that its request has not run and never will. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** Returns the result of an attempt that got no response. */
  public static AttemptResult withoutResponse(Completion completion) {
    return new AttemptResult(completion, 0, 0, UpstreamNotice.NONE);
  }

  /** Returns the result of an attempt whose response says nothing of the upstream. */
  public static AttemptResult of(Completion completion, int status) {
    return new AttemptResult(completion, status, 0, UpstreamNotice.NONE);
  }

  /**
   * Returns whether the status, forwarded to the caller, promises that the request has not run. The
   * upstream promises it only by the completion.
   */
  boolean promisesNotRun() {
    return NOT_RUN_STATUSES.contains(status);
  }
}
