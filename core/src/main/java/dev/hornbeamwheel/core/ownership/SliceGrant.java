package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Slice;

/** Grants a slice to an upstream at an epoch. */
public record SliceGrant(Slice slice, Epoch epoch) {}
