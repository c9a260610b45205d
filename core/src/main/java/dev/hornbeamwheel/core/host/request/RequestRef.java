package dev.hornbeamwheel.core.host.request;

/**
 * Identifies a request within one entry host.
 *
 * @param value a number that is unique in the process
 */
public record RequestRef(long value) {}
