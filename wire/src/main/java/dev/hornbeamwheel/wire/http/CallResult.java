package dev.hornbeamwheel.wire.http;

import io.netty.handler.codec.http.FullHttpResponse;

/** What became of a call. */
public sealed interface CallResult {
  /**
   * A complete answer arrived. The receiver of the result releases it.
   *
   * @param response the answer with its whole body
   */
  record Answered(FullHttpResponse response) implements CallResult {}

  /** No connection could be made; the request was not sent. */
  record Unreachable(String reason) implements CallResult {}

  /** The connection ended, or carried bytes that are no answer; the request may have arrived. */
  record Broken(String reason) implements CallResult {}

  /** No answer arrived in time; the request may have arrived. */
  record TimedOut() implements CallResult {}
}
