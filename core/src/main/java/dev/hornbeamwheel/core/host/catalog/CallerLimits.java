package dev.hornbeamwheel.core.host.catalog;

/**
 * Bounds on what callers send.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerTimeoutMillis longest time for a request's head to arrive, in milliseconds
 * @param idleTimeoutMillis longest time a connection stays idle, in milliseconds
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
