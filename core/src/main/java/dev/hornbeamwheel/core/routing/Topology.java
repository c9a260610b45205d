package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.dispatch.SlotPoolId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.codec.digest.MurmurHash3;

/** Holds the declared services, the upstreams that accept work, and the live routers. */
final class Topology {
  /** Time since it was last live for which a router counts in majorities and shares. */
  private static final long ROUTER_RETENTION_MILLIS = 3_600_000;

  private record LastSeen(DataCentreId dataCentre, long atMillis) {}

  private final RoutingSettings settings;
  private final RoutingFaults faults;
  private final Map<ServiceId, Service> services = new HashMap<>();
  private final Map<UpstreamId, Upstream> activeUpstreams = new HashMap<>();
  private final Map<SlotPoolId, List<Upstream>> pools = new HashMap<>();
  private final Map<ServiceId, List<DataCentreId>> dataCentres = new HashMap<>();
  private final Map<MemberId, LastSeen> routersLastSeen = new HashMap<>();
  private final Map<SlotPoolId, MemberId> dispatchers = new HashMap<>();
  private List<Peer> routers = List.of();
  private long version = -1;

  Topology(RoutingSettings settings, RoutingFaults faults) {
    this.faults = faults;
    this.settings = settings;
  }

  /** Applies a configuration and returns whether it is newer than the current one. */
  boolean configure(Configuration configuration) {
    if (configuration.version() <= version) {
      return false;
    }
    version = configuration.version();
    services.clear();
    activeUpstreams.clear();
    pools.clear();
    dataCentres.clear();
    Declarations declarations = configuration.declarations();
    declarations.services().forEach(service -> services.put(service.id(), service));
    declarations.upstreams().stream()
        .filter(u -> !declarations.drained(u) || faults == RoutingFaults.IGNORE_DRAIN)
        .forEach(this::add);
    return true;
  }

  void updateRouters(long nowMillis, List<Peer> peers) {
    routers = peers;
    dispatchers.clear();
    peers.forEach(
        peer -> routersLastSeen.put(peer.id(), new LastSeen(peer.dataCentre(), nowMillis)));
    routersLastSeen
        .values()
        .removeIf(last -> nowMillis - last.atMillis() > ROUTER_RETENTION_MILLIS);
  }

  /** Returns a service; null if it is not declared. */
  Service service(ServiceId id) {
    return services.get(id);
  }

  /** Returns an upstream that accepts work; null if it is drained or not declared. */
  Upstream upstream(UpstreamId id) {
    return activeUpstreams.get(id);
  }

  /** Returns the upstreams of a slot pool that accept work; empty if there are none. */
  List<Upstream> pool(SlotPoolId key) {
    return pools.getOrDefault(key, List.of());
  }

  /** Returns the data centres where a service has active upstreams, the local one first. */
  List<DataCentreId> dataCentres(ServiceId service) {
    return dataCentres.getOrDefault(service, List.of());
  }

  /** Returns the slot pools with active upstreams in this router's data centre. */
  List<SlotPoolId> ownPools() {
    return pools.keySet().stream()
        .filter(key -> key.dataCentre().equals(settings.dataCentre()))
        .toList();
  }

  /** Returns the elected dispatcher of a pool; null if its data centre has no live router. */
  MemberId dispatcher(SlotPoolId key) {
    if (routers.isEmpty()) {
      return key.dataCentre().equals(settings.dataCentre()) ? settings.self() : null;
    }
    return dispatchers.computeIfAbsent(key, this::elect);
  }

  /** Returns the dispatcher of a pool if this router left; null if no other router is live. */
  MemberId successor(SlotPoolId key) {
    return routers.stream()
        .filter(peer -> peer.dataCentre().equals(key.dataCentre()))
        .filter(peer -> !peer.id().equals(settings.self()))
        .max(Comparator.comparingLong(peer -> weight(key, peer)))
        .map(Peer::id)
        .orElse(null);
  }

  /** Returns the number of routers of a data centre live within the last hour, at least one. */
  int recentRouterCount(DataCentreId dataCentre) {
    int count = 0;
    for (LastSeen last : routersLastSeen.values()) {
      count += last.dataCentre().equals(dataCentre) ? 1 : 0;
    }
    return Math.max(1, count);
  }

  /** Returns the number of routers of the fleet live within the last hour, at least one. */
  int recentFleetSize() {
    return Math.max(1, routersLastSeen.size());
  }

  private void add(Upstream upstream) {
    activeUpstreams.put(upstream.id(), upstream);
    SlotPoolId key = new SlotPoolId(upstream.service(), upstream.dataCentre());
    pools.computeIfAbsent(key, absent -> new ArrayList<>()).add(upstream);
    List<DataCentreId> serviceDataCentres =
        dataCentres.computeIfAbsent(upstream.service(), absent -> new ArrayList<>());
    if (serviceDataCentres.contains(upstream.dataCentre())) {
      return;
    }
    boolean local = upstream.dataCentre().equals(settings.dataCentre());
    serviceDataCentres.add(local ? 0 : serviceDataCentres.size(), upstream.dataCentre());
  }

  private MemberId elect(SlotPoolId key) {
    return routers.stream()
        .filter(peer -> peer.dataCentre().equals(key.dataCentre()))
        .max(Comparator.comparingLong(peer -> weight(key, peer)))
        .map(Peer::id)
        .orElse(null);
  }

  private static long weight(SlotPoolId key, Peer peer) {
    String text = key.service() + "/" + key.dataCentre() + "/" + peer.id();
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }
}
