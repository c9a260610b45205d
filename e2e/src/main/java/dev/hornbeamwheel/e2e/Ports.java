package dev.hornbeamwheel.e2e;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on loopback. */
final class Ports {
  private Ports() {}

  /**
   * Returns distinct ports that were free a moment ago.
   *
   * @throws IOException if there are not so many
   */
  static List<Integer> free(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }
}
