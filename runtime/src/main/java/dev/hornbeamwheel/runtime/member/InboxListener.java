package dev.hornbeamwheel.runtime.member;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.node.PeerMessage;
import dev.hornbeamwheel.wire.PeerListener;

/** Turns what the transport receives into events. */
public final class InboxListener implements PeerListener {
  private final NodeInbox inbox;

  private InboxListener(NodeInbox inbox) {
    this.inbox = inbox;
  }

  /** Returns a listener that posts to an inbox. */
  public static InboxListener to(NodeInbox inbox) {
    return new InboxListener(inbox);
  }

  @Override
  public void received(MemberId from, Incarnation incarnation, PeerMessage message) {
    inbox.post(now -> new NodeEvent.Received(now, from, incarnation, message));
  }

  @Override
  public void unreachable(MemberId member) {
    inbox.post(now -> new NodeEvent.PeerUnreachable(now, member));
  }
}
