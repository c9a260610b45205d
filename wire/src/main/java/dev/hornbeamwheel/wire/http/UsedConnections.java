package dev.hornbeamwheel.wire.http;

import java.util.ArrayList;
import java.util.List;

/**
 * The connections that have carried a request; no further attempt of the request uses them.
 *
 * <p>All attempts of a request have the same id. A response to an earlier attempt that is sent once
 * more on its connection would therefore match a later attempt there.
 */
public final class UsedConnections {
  private final List<CallConnection> connections = new ArrayList<>(1);

  private UsedConnections() {}

  /** Returns the connections of a request that has not been sent. */
  public static UsedConnections none() {
    return new UsedConnections();
  }

  void add(CallConnection connection) {
    connections.add(connection);
  }

  boolean contains(CallConnection connection) {
    return connections.contains(connection);
  }
}
