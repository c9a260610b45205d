package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.node.PeerMessage;

/**
 * A message and the member that sent it.
 *
 * @param sender the member
 * @param incarnation the start of the member
 * @param message the message
 */
public record PeerFrame(MemberId sender, Incarnation incarnation, PeerMessage message) {}
