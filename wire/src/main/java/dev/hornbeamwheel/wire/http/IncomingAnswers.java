package dev.hornbeamwheel.wire.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/** The answers that are being read; the longest gives way when they are too many bytes. */
final class IncomingAnswers {
  private final int maxBytes;
  private final Set<CallConnection> connections = new HashSet<>();
  private long bytes;

  IncomingAnswers(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Counts bytes that arrived on a connection; the connection itself may have to give way. */
  void add(CallConnection connection, int more) {
    connections.add(connection);
    bytes += more;
    while (bytes > maxBytes) {
      longest().giveWay();
    }
  }

  /** Forgets the answer on a connection, and all its bytes. */
  void remove(CallConnection connection) {
    if (connections.remove(connection)) {
      bytes -= connection.receivedBytes();
    }
  }

  private CallConnection longest() {
    return connections.stream()
        .max(Comparator.comparingInt(CallConnection::receivedBytes))
        .orElseThrow();
  }
}
