package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The hosts that are connected to the coordinator, including its own. */
final class ConnectedHosts {
  /**
   * Minimum time that a host must be connected before the lease is handed to it, in milliseconds.
   */
  static final long STABLE_CONNECTION_MILLIS = 3_000;

  private record Host(
      HostId id, DataCentreId dataCentre, HostCapacity capacity, long connectedMillis) {}

  private final Map<LinkId, Host> hosts = new LinkedHashMap<>();

  void add(long nowMillis, LinkId link, HostMessage.Hello hello) {
    hosts.put(link, new Host(hello.host(), hello.dataCentre(), hello.capacity(), nowMillis));
  }

  void remove(LinkId link) {
    hosts.remove(link);
  }

  Set<LinkId> links() {
    return hosts.keySet();
  }

  int size() {
    return hosts.size();
  }

  /** Returns the number of hosts of a data centre. */
  int size(DataCentreId dataCentre) {
    return (int)
        hosts.values().stream().filter(host -> host.dataCentre().equals(dataCentre)).count();
  }

  Optional<DataCentreId> dataCentre(LinkId link) {
    return Optional.ofNullable(hosts.get(link)).map(Host::dataCentre);
  }

  Optional<HostId> host(LinkId link) {
    return Optional.ofNullable(hosts.get(link)).map(Host::id);
  }

  /** Returns the greatest capacity among all connected hosts, or unknown if there is none. */
  HostCapacity bestCapacity() {
    return best(hosts.values().stream());
  }

  /** Returns the greatest capacity among all connected hosts but one. */
  HostCapacity bestCapacityBeside(LinkId excluded) {
    return best(
        hosts.entrySet().stream()
            .filter(host -> !host.getKey().equals(excluded))
            .map(Map.Entry::getValue));
  }

  /**
   * Returns the greatest capacity among the hosts connected for at least {@link
   * #STABLE_CONNECTION_MILLIS}, or unknown if there is none.
   */
  HostCapacity bestStableCapacity(long nowMillis) {
    long limitMillis = nowMillis - STABLE_CONNECTION_MILLIS;
    return best(hosts.values().stream().filter(host -> host.connectedMillis() <= limitMillis));
  }

  private static HostCapacity best(Stream<Host> candidates) {
    return candidates
        .map(Host::capacity)
        .max(Comparator.naturalOrder())
        .orElse(HostCapacity.unknown());
  }
}
