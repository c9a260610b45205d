package dev.hornbeamwheel.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counts of what a transport has carried and lost since its start. */
public final class TransportCounters {
  private final LongAdder sentMessages = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder gossipBytes = new LongAdder();
  private final LongAdder receivedMessages = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder dropped = new LongAdder();
  private final LongAdder malformed = new LongAdder();

  /** Returns counts that are all zero. */
  static TransportCounters zero() {
    return new TransportCounters();
  }

  private TransportCounters() {}

  void sent(int bytes, boolean gossip) {
    sentMessages.increment();
    sentBytes.add(bytes);
    if (gossip) {
      gossipBytes.add(bytes);
    }
  }

  void received(int bytes) {
    receivedMessages.increment();
    receivedBytes.add(bytes);
  }

  void dropped() {
    dropped.increment();
  }

  void malformed() {
    malformed.increment();
  }

  /** Returns the messages handed to a connection. */
  public long sentMessages() {
    return sentMessages.sum();
  }

  /** Returns the bytes handed to a connection, frame headers included. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the part of {@link #sentBytes()} that was gossip. */
  public long gossipBytes() {
    return gossipBytes.sum();
  }

  /** Returns the messages received. */
  public long receivedMessages() {
    return receivedMessages.sum();
  }

  /** Returns the bytes received, frame headers included. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /** Returns the messages dropped because their receiver could not take them. */
  public long droppedMessages() {
    return dropped.sum();
  }

  /** Returns the frames received that were no message of this version. */
  public long malformedFrames() {
    return malformed.sum();
  }
}
