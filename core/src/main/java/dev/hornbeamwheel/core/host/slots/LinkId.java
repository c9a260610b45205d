package dev.hornbeamwheel.core.host.slots;

/**
 * Identifies the connection of one entry host to the coordinator.
 *
 * @param value number that is unique within the coordinator's process
 */
public record LinkId(long value) {}
