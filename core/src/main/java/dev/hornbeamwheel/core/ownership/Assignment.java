package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Optional;

/**
 * The owner of one slice.
 *
 * @param slice the slice
 * @param owner the upstream that owns it
 * @param epoch number of this assignment, greater than that of each earlier one
 * @param previousOwner the upstream that must give the slice up first; empty if none
 */
public record Assignment(
    Slice slice, UpstreamId owner, Epoch epoch, Optional<UpstreamId> previousOwner) {}
