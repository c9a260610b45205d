package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.node.PeerMessage;
import java.net.InetSocketAddress;

/**
 * Carries messages to other members; each may be lost.
 *
 * <p>Safe for use by several threads.
 */
public interface PeerTransport extends AutoCloseable {
  /**
   * Sends a message without ever blocking; drops it if the address of the member is unknown.
   *
   * <p>While the member cannot be reached, the newest messages wait for it up to a bound.
   */
  void send(MemberId to, PeerMessage message);

  /** Records where a member listens; an earlier address is given up. */
  void addressKnown(MemberId member, InetSocketAddress address);

  /** Forgets a member, closes its connection and drops what waits for it. */
  void forget(MemberId member);

  /** Returns the address that this process listens on. */
  InetSocketAddress address();

  /** Returns the counts of what has been carried and lost. */
  TransportCounters counters();

  /** Sends what waits where a connection is open, then closes all connections. */
  @Override
  void close();
}
