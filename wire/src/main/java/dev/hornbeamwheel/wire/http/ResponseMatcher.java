package dev.hornbeamwheel.wire.http;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Decides whether a response belongs to a call.
 *
 * <p>A server that sends a response once more, or too late, sends it where the response to the next
 * call is expected. Only on a new connection is every response certainly one to the call.
 */
@FunctionalInterface
public interface ResponseMatcher {
  /**
   * Returns how a response relates to the call.
   *
   * @param connectionReused whether the connection has carried another call before
   */
  ResponseMatch match(HttpResponse response, boolean connectionReused);

  /** Returns a matcher for a server whose responses come in the order of the calls. */
  static ResponseMatcher inOrder() {
    return (response, connectionReused) -> ResponseMatch.ANSWERS;
  }
}
