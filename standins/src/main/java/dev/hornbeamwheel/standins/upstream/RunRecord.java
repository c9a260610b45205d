package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * One committed run of a request.
 *
 * @param upstream the upstream that ran it
 * @param incarnation its incarnation
 * @param requestId the request
 * @param method the HTTP method
 * @param path the path
 * @param key the key; empty text for a pooled service
 * @param idempotencyKey empty text if there was none
 * @param startedAtMillis when it got a slot, by the clock of the process
 * @param committedAtMillis when it took effect, by the same clock
 */
public record RunRecord(
    UpstreamId upstream,
    String incarnation,
    String requestId,
    String method,
    String path,
    String key,
    String idempotencyKey,
    long startedAtMillis,
    long committedAtMillis) {}
