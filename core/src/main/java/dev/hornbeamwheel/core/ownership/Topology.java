package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The declared data centres and upstreams and the live controllers, as known to this controller.
 */
final class Topology {
  private final OwnershipOptions options;
  private Configuration configuration = Configuration.initial();
  private Map<DataCentreId, List<Voter>> liveControllers = Map.of();
  private Set<Voter> liveVoters = Set.of();
  private Set<Voter> decommissioned = Set.of();
  private final Map<DataCentreId, Long> liveSince = new HashMap<>();
  private final Map<DataCentreId, Long> noLiveSince = new HashMap<>();
  private final Map<CellId, Map<String, Long>> weights = new HashMap<>();
  private final Map<ServiceId, Service> services = new HashMap<>();
  private final Map<ServiceId, List<Upstream>> upstreams = new HashMap<>();

  Topology(OwnershipOptions options) {
    this.options = options;
  }

  void configure(Configuration next, long now) {
    if (next.version() < configuration.version()) {
      return;
    }
    configuration = next;
    updateLiveSince(now);
    services.clear();
    next.declarations().services().forEach(service -> services.put(service.id(), service));
    upstreams.clear();
    upstreams.putAll(
        next.declarations().upstreams().stream().collect(Collectors.groupingBy(Upstream::service)));
  }

  void updateMembers(Map<DataCentreId, List<Voter>> live, Set<Voter> decommissioned, long now) {
    liveControllers = live;
    this.decommissioned = Set.copyOf(decommissioned);
    liveVoters = live.values().stream().flatMap(List::stream).collect(Collectors.toSet());
    updateLiveSince(now);
  }

  /** Records for each data centre since when it has had live controllers or none. */
  void updateLiveSince(long now) {
    for (DataCentre dataCentre : declarations().dataCentres()) {
      boolean empty = liveControllers.getOrDefault(dataCentre.id(), List.of()).isEmpty();
      (empty ? liveSince : noLiveSince).remove(dataCentre.id());
      (empty ? noLiveSince : liveSince).putIfAbsent(dataCentre.id(), now);
    }
  }

  Declarations declarations() {
    return configuration.declarations();
  }

  Optional<Service> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  /** Returns the upstreams of a service in a data centre that are not drained. */
  List<Upstream> inService(ServiceId service, DataCentreId dataCentre, boolean includeDrained) {
    return upstreams.getOrDefault(service, List.of()).stream()
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .filter(upstream -> includeDrained || !declarations().drained(upstream))
        .toList();
  }

  boolean isLive(Voter voter) {
    return liveVoters.contains(voter);
  }

  boolean decommissioned(Voter voter) {
    return decommissioned.contains(voter);
  }

  boolean declaredLost(DataCentreId dataCentre) {
    return declarations().lostDataCentres().contains(dataCentre);
  }

  boolean hasLiveControllers(DataCentreId dataCentre) {
    return !liveControllers.getOrDefault(dataCentre, List.of()).isEmpty();
  }

  private boolean hasSettledControllers(DataCentreId dataCentre, long now) {
    Long since = liveSince.get(dataCentre);
    return since != null && now - since >= options.settleMillis();
  }

  /**
   * Returns whether a data centre has been without live controllers for so long that a {@code
   * YIELD} service no longer serves there.
   */
  boolean presumedYielded(Service service, DataCentreId dataCentre, long now) {
    Long since = noLiveSince.get(dataCentre);
    return service.isolation() == Isolation.YIELD
        && since != null
        && now - since >= options.yieldAfterMillis();
  }

  /**
   * Returns whether a data centre is neither drained nor lost and has undrained upstreams of a
   * service.
   */
  boolean canBeHome(Service service, DataCentreId id) {
    return !declarations().drainedDataCentres().contains(id)
        && !declaredLost(id)
        && !inService(service.id(), id, false).isEmpty();
  }

  /**
   * Returns the data centre that should be the home of a cell, or empty if none is usable.
   *
   * @param current the current home; null if the cell has none
   */
  Optional<DataCentreId> preferredHome(
      Service service, CellId cell, DataCentreId current, long now) {
    List<DataCentreId> usable =
        declarations().dataCentres().stream()
            .map(DataCentre::id)
            .filter(id -> canBeHome(service, id))
            .toList();
    if (current != null && usable.contains(current) && !presumedYielded(service, current, now)) {
      return usable.stream()
          .filter(id -> id.equals(current) || hasSettledControllers(id, now))
          .max(byWeight(cell, DataCentreId::value));
    }
    return usable.stream()
        .filter(this::hasLiveControllers)
        .max(byWeight(cell, DataCentreId::value));
  }

  /** Returns the live controllers of a data centre by rank for a cell, highest first. */
  List<Voter> rankLive(CellId cell, DataCentreId dataCentre) {
    return rank(cell, liveControllers.getOrDefault(dataCentre, List.of()));
  }

  /** Returns controllers by rank for a cell, highest first. */
  List<Voter> rank(CellId cell, Collection<Voter> voters) {
    return voters.stream().sorted(byWeight(cell, this::name).reversed()).toList();
  }

  /** Returns the highest-ranked live controllers of all other data centres for a cell. */
  List<Voter> idealWitnesses(CellId cell, DataCentreId home) {
    return liveControllers.keySet().stream()
        .filter(id -> !id.equals(home))
        .sorted()
        .flatMap(id -> rankLive(cell, id).stream().limit(options.maxVoters()))
        .collect(Collectors.collectingAndThen(Collectors.toList(), all -> rank(cell, all)))
        .stream()
        .limit(options.maxVoters())
        .toList();
  }

  /**
   * Returns the preferred voters: the current ones that are live, then the highest-ranked others.
   *
   * <p>Their number is odd because one more voter would not tolerate one more failure.
   */
  List<Voter> idealVoters(CellId cell, DataCentreId home, List<Voter> current) {
    Set<Voter> kept = new HashSet<>(current);
    kept.retainAll(liveControllers.getOrDefault(home, List.of()));
    List<Voter> all =
        Stream.concat(rank(cell, kept).stream(), rankLive(cell, home).stream())
            .distinct()
            .limit(options.maxVoters())
            .toList();
    return all.size() % 2 == 0 && !all.isEmpty() ? all.subList(0, all.size() - 1) : all;
  }

  private String name(Voter voter) {
    return voter.member().value();
  }

  private <T> Comparator<T> byWeight(CellId cell, Function<T, String> name) {
    return Comparator.comparingLong((T item) -> weight(cell, name.apply(item))).thenComparing(name);
  }

  private long weight(CellId cell, String name) {
    return weights
        .computeIfAbsent(cell, key -> new HashMap<>())
        .computeIfAbsent(name, key -> hash(cell + "|" + key));
  }

  private static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }
}
