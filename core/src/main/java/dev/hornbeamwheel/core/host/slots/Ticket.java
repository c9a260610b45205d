package dev.hornbeamwheel.core.host.slots;

/**
 * Identifies an ask among those of all hosts.
 *
 * @param link the host that asked
 * @param ask number of the request, unique within the host
 */
public record Ticket(LinkId link, long ask) {}
