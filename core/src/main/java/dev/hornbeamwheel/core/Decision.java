package dev.hornbeamwheel.core;

/**
 * One routing or placement decision, for the decision log.
 *
 * <p>Fields that do not apply are empty texts or zero.
 *
 * @param kind what was decided, for instance {@code route}, {@code refuse}, {@code move}
 * @param reason why, in a few words
 * @param service the service
 * @param shard index of the shard
 * @param epoch epoch of the assignment
 * @param upstream the upstream chosen
 * @param contract the contract of the caller
 * @param requestId the request
 */
public record Decision(
    String kind,
    String reason,
    String service,
    int shard,
    long epoch,
    String upstream,
    String contract,
    String requestId) {}
