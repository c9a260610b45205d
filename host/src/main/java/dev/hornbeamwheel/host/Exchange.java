package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.request.RequestHead;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.wire.http.CallHandle;
import dev.hornbeamwheel.wire.http.UsedConnections;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.function.LongConsumer;

/** A caller's request, the upstream attempt in progress for it, and its response; mutable. */
final class Exchange {
  private final RequestRef ref;
  private final CallerConnection connection;
  private final FullHttpRequest request;
  private final RequestHead head;
  private final long bodyBytes;
  private final LongConsumer bodyRelease;
  private final UsedConnections upstreamConnections = UsedConnections.none();
  private CallHandle attempt;
  private FullHttpResponse upstreamResponse;
  private FullHttpResponse callerResponse;
  private boolean requestReleased;

  /**
   * Creates an exchange without a response.
   *
   * @param bodyBytes size of the body of the request, as it was counted
   * @param bodyRelease receives that size when the body is no longer held
   */
  Exchange(
      RequestRef ref,
      CallerConnection connection,
      FullHttpRequest request,
      RequestHead head,
      long bodyBytes,
      LongConsumer bodyRelease) {
    this.ref = ref;
    this.connection = connection;
    this.request = request;
    this.head = head;
    this.bodyBytes = bodyBytes;
    this.bodyRelease = bodyRelease;
  }

  RequestRef ref() {
    return ref;
  }

  CallerConnection connection() {
    return connection;
  }

  FullHttpRequest request() {
    return request;
  }

  RequestHead head() {
    return head;
  }

  String attemptId() {
    return head.attemptId();
  }

  /** Returns the connections to upstreams that have carried the request. */
  UsedConnections upstreamConnections() {
    return upstreamConnections;
  }

  boolean keepAlive() {
    return HttpUtil.isKeepAlive(request);
  }

  /** Releases the request with its body; further calls have no effect. */
  void releaseRequest() {
    if (!requestReleased) {
      requestReleased = true;
      request.release();
      bodyRelease.accept(bodyBytes);
    }
  }

  void attemptStarted(CallHandle started) {
    attempt = started;
  }

  void abortAttempt() {
    if (attempt != null) {
      attempt.abort();
      attempt = null;
    }
  }

  /** Records the end of the attempt; {@code response} is null if it got none. */
  void attemptEnded(FullHttpResponse response) {
    attempt = null;
    releaseUpstreamResponse();
    upstreamResponse = response;
  }

  /** Returns the upstream's response, which the receiver releases; null if there is none. */
  FullHttpResponse takeUpstreamResponse() {
    FullHttpResponse taken = upstreamResponse;
    upstreamResponse = null;
    return taken;
  }

  void releaseUpstreamResponse() {
    if (upstreamResponse != null) {
      upstreamResponse.release();
      upstreamResponse = null;
    }
  }

  void callerResponse(FullHttpResponse response) {
    callerResponse = response;
  }

  /** Returns the response to the caller; null until it is ready. */
  FullHttpResponse callerResponse() {
    return callerResponse;
  }
}
