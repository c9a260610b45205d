package dev.hornbeamwheel.runtime.member;

import dev.hornbeamwheel.core.node.NodeEffect;
import dev.hornbeamwheel.runtime.logging.DecisionLog;
import dev.hornbeamwheel.wire.PeerTransport;

/** Carries out the effects that every member has alike. */
public final class MemberIo {
  private final PeerTransport transport;
  private final PlatformReads reads;
  private final DecisionLog decisions;

  private MemberIo(PeerTransport transport, PlatformReads reads, DecisionLog decisions) {
    this.transport = transport;
    this.reads = reads;
    this.decisions = decisions;
  }

  /** Returns the input and output of one member. */
  public static MemberIo create(
      PeerTransport transport, PlatformReads reads, DecisionLog decisions) {
    return new MemberIo(transport, reads, decisions);
  }

  /**
   * Carries out an effect if every member has it.
   *
   * @return false if the effect is left to the program
   */
  public boolean perform(NodeEffect effect) {
    if (effect instanceof NodeEffect.Send send) {
      transport.send(send.to(), send.message());
    } else if (effect instanceof NodeEffect.PeerAddress peer) {
      transport.addressKnown(peer.member(), SocketAddresses.parse(peer.address()));
    } else if (effect instanceof NodeEffect.PeerGone gone) {
      transport.forget(gone.member());
    } else if (effect instanceof NodeEffect.Log log) {
      decisions.write(log.decision());
    } else {
      return performRead(effect);
    }
    return true;
  }

  private boolean performRead(NodeEffect effect) {
    if (effect instanceof NodeEffect.PollHostList) {
      reads.hostList();
    } else if (effect instanceof NodeEffect.PollConfiguration) {
      reads.configuration();
    } else if (effect instanceof NodeEffect.ReadCellRow read) {
      reads.cellRow(read.cell());
    } else {
      return false;
    }
    return true;
  }
}
