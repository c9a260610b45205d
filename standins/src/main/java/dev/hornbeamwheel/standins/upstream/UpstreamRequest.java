package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.Slice;
import java.util.Optional;

/**
 * A request as an upstream received it.
 *
 * @param id the request
 * @param slice the slice of its key; empty for a pooled service
 * @param epoch the epoch that the router knows; none for a pooled service
 * @param key the key; empty text for a pooled service
 * @param idempotencyKey empty text if there is none
 * @param deadlineAtMillis reading of the upstream's clock after which nobody waits
 * @param method the HTTP method
 * @param path the path
 */
record UpstreamRequest(
    RequestId id,
    Optional<Slice> slice,
    Epoch epoch,
    String key,
    String idempotencyKey,
    long deadlineAtMillis,
    String method,
    String path) {}
