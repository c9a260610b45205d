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

/** The declared services and upstreams that take work, and the live routers. */
final class Topology {
  /** Time after it was last live for which a router counts towards majorities and shares. */
  private static final long REMEMBERED_MILLIS = 3_600_000;

  private record LastSeen(DataCentreId dataCentre, long atMillis) {}

  private final RoutingSettings settings;
  private final RoutingFaults faults;
  private final Map<ServiceId, Service> services = new HashMap<>();
  private final Map<UpstreamId, Upstream> live = new HashMap<>();
  private final Map<SlotPoolId, List<Upstream>> pools = new HashMap<>();
  private final Map<ServiceId, List<DataCentreId>> dataCentres = new HashMap<>();
  private final Map<MemberId, LastSeen> seen = new HashMap<>();
  private final Map<SlotPoolId, MemberId> dispatchers = new HashMap<>();
  private List<Peer> routers = List.of();
  private long version = -1;

  Topology(RoutingSettings settings, RoutingFaults faults) {
    this.faults = faults;
    this.settings = settings;
  }

  /** Takes a configuration in and returns whether it is later than the one in force. */
  boolean configure(Configuration configuration) {
    if (configuration.version() <= version) {
      return false;
    }
    version = configuration.version();
    services.clear();
    live.clear();
    pools.clear();
    dataCentres.clear();
    Declarations declarations = configuration.declarations();
    declarations.services().forEach(service -> services.put(service.id(), service));
    declarations.upstreams().stream()
        .filter(u -> !declarations.drained(u) || faults == RoutingFaults.IGNORE_DRAIN)
        .forEach(this::add);
    return true;
  }

  void members(long nowMillis, List<Peer> peers) {
    routers = peers;
    dispatchers.clear();
    peers.forEach(peer -> seen.put(peer.id(), new LastSeen(peer.dataCentre(), nowMillis)));
    seen.values().removeIf(last -> nowMillis - last.atMillis() > REMEMBERED_MILLIS);
  }

  /** Returns a declared service; null if it is not declared. */
  Service service(ServiceId id) {
    return services.get(id);
  }

  /** Returns an upstream that takes work; null if it is drained or not declared. */
  Upstream upstream(UpstreamId id) {
    return live.get(id);
  }

  /** Returns the upstreams of a service in a data centre that take work. */
  List<Upstream> pool(SlotPoolId key) {
    return pools.getOrDefault(key, List.of());
  }

  /** Returns the data centres in which a service has upstreams that take work, the own first. */
  List<DataCentreId> dataCentres(ServiceId service) {
    return dataCentres.getOrDefault(service, List.of());
  }

  /** Returns all slot pools that have upstreams in this router's data centre. */
  List<SlotPoolId> ownPools() {
    return pools.keySet().stream()
        .filter(key -> key.dataCentre().equals(settings.dataCentre()))
        .toList();
  }

  /** Returns the router that dispatches the slots of a pool; null if no router lives there. */
  MemberId dispatcher(SlotPoolId key) {
    if (routers.isEmpty()) {
      return key.dataCentre().equals(settings.dataCentre()) ? settings.self() : null;
    }
    return dispatchers.computeIfAbsent(key, this::elect);
  }

  /** Returns the router that would dispatch a pool if this one did not; null if none is left. */
  MemberId successor(SlotPoolId key) {
    return routers.stream()
        .filter(peer -> peer.dataCentre().equals(key.dataCentre()))
        .filter(peer -> !peer.id().equals(settings.self()))
        .max(Comparator.comparingLong(peer -> weight(key, peer)))
        .map(Peer::id)
        .orElse(null);
  }

  /** Returns the routers of a data centre that were live within the last hour. */
  int electorate(DataCentreId dataCentre) {
    int count = 0;
    for (LastSeen last : seen.values()) {
      count += last.dataCentre().equals(dataCentre) ? 1 : 0;
    }
    return Math.max(1, count);
  }

  /** Returns the routers of the fleet that were live within the last hour. */
  int fleetSize() {
    return Math.max(1, seen.size());
  }

  private void add(Upstream upstream) {
    live.put(upstream.id(), upstream);
    SlotPoolId key = new SlotPoolId(upstream.service(), upstream.dataCentre());
    pools.computeIfAbsent(key, absent -> new ArrayList<>()).add(upstream);
    List<DataCentreId> places =
        dataCentres.computeIfAbsent(upstream.service(), absent -> new ArrayList<>());
    if (places.contains(upstream.dataCentre())) {
      return;
    }
    boolean own = upstream.dataCentre().equals(settings.dataCentre());
    places.add(own ? 0 : places.size(), upstream.dataCentre());
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
