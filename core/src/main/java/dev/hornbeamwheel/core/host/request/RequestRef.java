package dev.hornbeamwheel.core.host.request;

/**
 * Identifies a request within one entry host.
 *
 * @param value number that is unique within the process
 */
public record RequestRef(long value) {}
