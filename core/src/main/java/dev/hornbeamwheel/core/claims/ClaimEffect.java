package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.MemberId;

/** An effect of a controller's {@link ClaimReducer}. */
public sealed interface ClaimEffect {
  /** Sends a message to a router or another voter. */
  record Send(MemberId to, ClaimMessage message) implements ClaimEffect {}
}
