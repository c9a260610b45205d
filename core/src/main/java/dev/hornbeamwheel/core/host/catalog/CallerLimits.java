package dev.hornbeamwheel.core.host.catalog;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerBytes maximum size of the head of a request, in bytes
 * @param bodyBytes maximum size of the body of a request, in bytes
 * @param headerTimeoutMillis maximum time for the head of a request to arrive, in milliseconds
 * @param idleTimeoutMillis maximum time that a connection may be idle, in milliseconds
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
