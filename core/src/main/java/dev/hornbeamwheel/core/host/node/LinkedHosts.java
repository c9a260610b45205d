package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The hosts that are connected to the coordinator, its own among them. */
final class LinkedHosts {
  /** A host that has been connected for so long may get the lease, in milliseconds. */
  static final long STEADY_MILLIS = 3_000;

  private record Host(DataCentreId dataCentre, HostCapacity capacity, long sinceMillis) {}

  private final Map<LinkId, Host> hosts = new LinkedHashMap<>();

  void add(long nowMillis, LinkId link, HostMessage.Hello hello) {
    hosts.put(link, new Host(hello.dataCentre(), hello.capacity(), nowMillis));
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

  Optional<DataCentreId> dataCentre(LinkId link) {
    return Optional.ofNullable(hosts.get(link)).map(Host::dataCentre);
  }

  /** Returns the greatest capacity of all hosts. */
  HostCapacity best() {
    return bestSince(Long.MAX_VALUE);
  }

  /** Returns the greatest capacity of the hosts that have been connected steadily. */
  HostCapacity bestSteady(long nowMillis) {
    return bestSince(nowMillis - STEADY_MILLIS);
  }

  private HostCapacity bestSince(long sinceMillis) {
    return hosts.values().stream()
        .filter(host -> host.sinceMillis() <= sinceMillis)
        .map(Host::capacity)
        .max(Comparator.naturalOrder())
        .orElse(HostCapacity.unknown());
  }
}
