package dev.hornbeamwheel.core.host.slots;

/**
 * Identifies an ask among those of all hosts.
 *
 * @param link the host that asked
 * @param number number of the request, unique within the host
 */
public record SlotRequestId(LinkId link, long number) {}
