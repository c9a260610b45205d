package dev.hornbeamwheel.core.host.node;

/**
 * What a coordinator has done since its term began, and what is left to do.
 *
 * @param term number of the term
 * @param connectedHosts hosts that are connected to it, its own among them
 * @param slotRequests asks for slots that it took
 * @param slotGrants slots that it gave
 * @param slotRefusals asks that it refused
 * @param keyOrders grants and releases that it sent
 * @param waitingRequests asks that wait now
 */
public record CoordinatorStatistics(
    long term,
    int connectedHosts,
    long slotRequests,
    long slotGrants,
    long slotRefusals,
    long keyOrders,
    int waitingRequests) {}
