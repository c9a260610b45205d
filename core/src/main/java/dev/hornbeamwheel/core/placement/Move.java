package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * A planned change of a slice's owner.
 *
 * @param slice the slice; a key slice that has no assignment yet becomes isolated by this move
 * @param to the new owner
 * @param reason reason for the decision log
 */
public record Move(Slice slice, UpstreamId to, String reason) {}
