package dev.hornbeamwheel.core.host.capacity;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * A change of the learned concurrency limit of an upstream.
 *
 * @param before limit until now
 * @param after limit from now on; the slots if the upstream is no longer limited
 * @param slots slots that the upstream declares
 */
public record LimitChange(UpstreamId upstream, int before, int after, int slots) {}
