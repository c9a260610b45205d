package dev.hornbeamwheel.core.host.node;

/**
 * What a coordinator has done since its term began, and what is left to do.
 *
 * @param term number of the term
 * @param hosts hosts that are connected to it, its own among them
 * @param asks asks for slots that it took
 * @param gives slots that it gave
 * @param refusals asks that it refused
 * @param orders grants and releases that it sent
 * @param waiting asks that wait now
 */
public record CoordinatorWork(
    long term, int hosts, long asks, long gives, long refusals, long orders, int waiting) {}
