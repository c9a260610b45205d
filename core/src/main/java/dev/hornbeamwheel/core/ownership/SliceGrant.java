package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Slice;

/** A slice and the epoch at which an upstream holds it. */
public record SliceGrant(Slice slice, Epoch epoch) {}
