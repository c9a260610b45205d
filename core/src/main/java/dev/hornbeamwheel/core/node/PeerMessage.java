package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.claims.ClaimMessage;
import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.membership.GossipMessage;
import dev.hornbeamwheel.core.ownership.OwnershipMessage;

/** A message between two members, of any concern. */
public sealed interface PeerMessage {
  /** About the leadership of cells. */
  record Ownership(OwnershipMessage message) implements PeerMessage {}

  /** About members and the items that they gossip. */
  record Gossip(GossipMessage message) implements PeerMessage {}

  /** About slots of upstreams. */
  record Dispatch(DispatchMessage message) implements PeerMessage {}

  /** About claims on idempotency keys. */
  record Claim(ClaimMessage message) implements PeerMessage {}

  /** About shares of contracts. */
  record Limits(LimitsMessage message) implements PeerMessage {}
}
