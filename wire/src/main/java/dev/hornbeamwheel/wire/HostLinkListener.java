package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.host.slots.LinkId;

/** Hears of the connections between this host and others; called on the thread of the links. */
public interface HostLinkListener {
  /** A host that is connected to this one said something. */
  void hostSaid(LinkId link, HostMessage message);

  /** The connection of a host to this one ended. */
  void hostGone(LinkId link);

  /** The connection to the coordinator of a term stands. */
  void coordinatorConnected(long term);

  /** The coordinator of a term said something. */
  void coordinatorSaid(long term, HostMessage message);

  /** The connection to the coordinator of a term ended, or could not be made. */
  void coordinatorGone(long term);

  /** A message was handed to a connection, as so many bytes. */
  void sent(HostMessage message, int bytes);
}
