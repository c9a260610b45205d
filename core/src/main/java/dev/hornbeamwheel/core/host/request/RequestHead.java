package dev.hornbeamwheel.core.host.request;

import java.util.OptionalInt;

/**
 * What decides the path of a request.
 *
 * @param attemptId the caller's id of this attempt
 * @param host value of the Host header
 * @param path path without the query
 * @param key the key, if the caller named one
 * @param timeoutMillis how long the caller waits, in milliseconds from its arrival
 */
public record RequestHead(
    String attemptId, String host, String path, OptionalInt key, long timeoutMillis) {}
