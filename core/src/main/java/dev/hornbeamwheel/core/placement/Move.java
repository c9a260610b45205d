package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * One planned change of owner.
 *
 * @param slice the slice; an isolated one that has no assignment yet is isolated by this move
 * @param to the new owner
 * @param reason why, for the decision log
 */
public record Move(Slice slice, UpstreamId to, String reason) {}
