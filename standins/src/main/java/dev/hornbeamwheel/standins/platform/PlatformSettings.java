package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.standins.faults.ListedHost;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of the platform.
 *
 * @param entrances where it is reached
 * @param readsPerSecond reads of the table that it serves a second
 * @param writesPerSecond writes of the table that it serves a second
 * @param hostListLagMillis time after which the list of hosts shows a change
 * @param hosts the list of hosts at the start
 */
public record PlatformSettings(
    List<Entrance> entrances,
    int readsPerSecond,
    int writesPerSecond,
    long hostListLagMillis,
    List<ListedHost> hosts) {
  /** Copies the lists. */
  public PlatformSettings {
    entrances = List.copyOf(entrances);
    hosts = List.copyOf(hosts);
  }

  /** A name for faults to refer to, and an address; port zero takes a free one. */
  public record Entrance(String name, InetSocketAddress address) {}
}
