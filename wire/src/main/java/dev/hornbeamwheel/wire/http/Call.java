package dev.hornbeamwheel.wire.http;

import dev.hornbeamwheel.core.host.catalog.Address;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A request to be sent.
 *
 * @param address where to
 * @param request the request; released by the client
 * @param timeoutMillis how long to wait for the whole answer, in milliseconds
 * @param oldestIdleMillis time for which the connection to use must not have been idle yet, in
 *     milliseconds; zero for a new connection
 * @param matcher decides whether a response belongs to the request
 * @param usedConnections connections that the request must not use; its own is added
 */
public record Call(
    Address address,
    FullHttpRequest request,
    long timeoutMillis,
    long oldestIdleMillis,
    ResponseMatcher matcher,
    UsedConnections usedConnections) {
  /** Returns a call whose request is sent once only. */
  public static Call once(
      Address address,
      FullHttpRequest request,
      long timeoutMillis,
      long oldestIdleMillis,
      ResponseMatcher matcher) {
    return new Call(
        address, request, timeoutMillis, oldestIdleMillis, matcher, UsedConnections.none());
  }
}
