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
 * @param epoch fencing epoch, greater than that of any earlier assignment of the slice
 * @param previousOwner the upstream that must release the slice first; empty if none
 */
public record Assignment(
    Slice slice, UpstreamId owner, Epoch epoch, Optional<UpstreamId> previousOwner) {}
