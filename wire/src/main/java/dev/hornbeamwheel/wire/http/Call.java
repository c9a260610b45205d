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
 * @param matcher tells whether a response belongs to the request
 */
public record Call(
    Address address,
    FullHttpRequest request,
    long timeoutMillis,
    long oldestIdleMillis,
    ResponseMatcher matcher) {}
