package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.node.PeerMessage;

/** Learns what arrives from other members; called on a thread of the transport, must not block. */
public interface PeerListener {
  /** Takes a message of another member. */
  void received(MemberId from, Incarnation incarnation, PeerMessage message);

  /** Learns that the connection to a member was refused or broke. */
  void unreachable(MemberId member);
}
