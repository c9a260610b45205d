package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.MemberId;

/** An effect of the claim store of a controller. */
public sealed interface ClaimEffect {
  /** Sends a message to a router or another voter. */
  record Send(MemberId to, ClaimMessage message) implements ClaimEffect {}
}
