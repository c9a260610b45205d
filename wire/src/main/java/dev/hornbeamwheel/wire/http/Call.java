package dev.hornbeamwheel.wire.http;

import dev.hornbeamwheel.core.host.catalog.Address;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Predicate;

/**
 * A request to be sent.
 *
 * @param address where to
 * @param request the request; released by the client
 * @param timeoutMillis how long to wait for the whole answer, in milliseconds
 * @param oldestIdleMillis time for which the connection to use must not have been idle yet, in
 *     milliseconds; zero for a new connection
 * @param belongs tells whether an answer belongs to the request; others are passed over
 */
public record Call(
    Address address,
    FullHttpRequest request,
    long timeoutMillis,
    long oldestIdleMillis,
    Predicate<HttpResponse> belongs) {}
