package dev.hornbeamwheel.core.host.slots;

/**
 * Identifies a slot request among those of all hosts.
 *
 * @param link connection of the requesting host
 * @param number number of the slot request, unique within the host
 */
public record SlotRequestId(LinkId link, long number) {}
