package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.keys.HotKeys.HotKey;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Plans the moves that leave the owner of a hot key nothing but that key.
 *
 * <p>The hot key stays: its requests fill any owner, and a move would cost its warm-up as well. An
 * owner of several hot keys keeps the one with the most requests, and the others get owners of
 * their own. Nothing is planned for a key that has cooled down: its owner gets other keys only when
 * their demand calls for it.
 */
final class HotKeyIsolation {
  private static final String REASON = "beside a hot key";

  private final DraftPlan plan;
  private final KeyDemand demand;
  private final MoveCandidates candidates;
  private final Map<UpstreamId, List<HotKey>> hottestFirst;
  private final Set<UpstreamId> isolated = new HashSet<>();
  private double otherPerSecond;

  HotKeyIsolation(DraftPlan plan, KeyDemand demand, Collection<HotKey> hotKeys) {
    this.plan = plan;
    this.demand = demand;
    this.candidates = new MoveCandidates(demand);
    this.hottestFirst =
        hotKeys.stream()
            .sorted(Comparator.comparingDouble(HotKey::requestsPerSecond).reversed())
            .collect(Collectors.groupingBy(HotKey::owner, LinkedHashMap::new, Collectors.toList()));
    hottestFirst.keySet().forEach(id -> plan.owner(id).ifPresent(PlannedOwner::markHot));
  }

  /** Plans the moves; to be called when all ranges have owners, whose demand must fit. */
  void planMoves() {
    otherPerSecond = otherPerSecond();
    // Owners that already have a single key count first; otherwise a changed order of the hot keys
    // would isolate further owners.
    hottestFirst.keySet().stream()
        .filter(id -> plan.owner(id).filter(this::hasOneKey).isPresent())
        .forEach(isolated::add);
    hottestFirst.forEach(
        (id, keys) ->
            plan.owner(id)
                .filter(owner -> !plan.tooManyRanges() && tryIsolate(owner))
                .ifPresent(owner -> moveKeys(owner, keys)));
  }

  /** Returns the requests per second for all keys but the hot ones. */
  private double otherPerSecond() {
    double hotPerSecond =
        hottestFirst.entrySet().stream()
            .filter(entry -> plan.owner(entry.getKey()).isPresent())
            .flatMap(entry -> entry.getValue().stream())
            .mapToDouble(HotKey::requestsPerSecond)
            .sum();
    return plan.owners().stream().mapToDouble(PlannedOwner::demandPerSecond).sum() - hotPerSecond;
  }

  /**
   * Marks an owner that is to keep only its hot key, if the other keys fit at the remaining
   * upstreams; returns whether it was marked. The first owner is always marked, since its hot key
   * leaves little room for others.
   */
  private boolean tryIsolate(PlannedOwner owner) {
    double remainingPerSecond =
        plan.owners().stream()
            .filter(other -> other != owner && !isolated.contains(other.id()))
            .mapToDouble(PlannedOwner::capacityPerSecond)
            .sum();
    boolean fits = otherPerSecond <= remainingPerSecond;
    return (isolated.isEmpty() || fits) && isolated.add(owner.id());
  }

  private boolean hasOneKey(PlannedOwner owner) {
    List<KeyRange> ranges = plan.movableOf(owner);
    return ranges.size() == 1 && ranges.get(0).size() == 1;
  }

  private void moveKeys(PlannedOwner owner, List<HotKey> hotKeys) {
    hotKeys.stream().skip(1).forEach(key -> moveHotKey(key, owner));
    List<Integer> hot = hotKeys.stream().map(HotKey::key).sorted().toList();
    plan.movableOf(owner).stream()
        .flatMap(range -> without(range, hot))
        .sorted(Comparator.comparingDouble((KeyRange part) -> -demand.requestsPerSecond(part)))
        .forEach(part -> moveOther(part, owner));
  }

  /** Moves a further hot key of an owner; the keys of its new owner leave in later plans. */
  private void moveHotKey(HotKey key, PlannedOwner owner) {
    PlannedOwner destination = plan.leastUtilisedWith(0);
    boolean movable = plan.ownerOf(key.key()).filter(holder -> holder == owner).isPresent();
    if (movable && !destination.hasHotKey() && tryIsolate(destination)) {
      destination.markHot();
      plan.move(new KeyRange(key.key(), key.key()), owner, destination, "hot key beside another");
    }
  }

  private void moveOther(KeyRange range, PlannedOwner owner) {
    double perSecond = demand.requestsPerSecond(range);
    Optional<PlannedOwner> destination =
        Stream.of(range.first() - 1, range.last() + 1)
            .flatMap(key -> plan.ownerOf(key).stream())
            .filter(neighbour -> !neighbour.hasHotKey())
            // A range beside one of the same owner is merged with it.
            .filter(neighbour -> hasRoom(neighbour, perSecond))
            .findFirst();
    if (destination.isPresent()) {
      plan.move(range, owner, destination.get(), REASON);
      return;
    }
    PlannedOwner leastUtilised = plan.leastUtilisedWith(perSecond);
    if (leastUtilised.hasHotKey()) {
      return; // Each upstream has one.
    }
    boolean fits = hasRoom(leastUtilised, perSecond);
    (fits ? List.of(range) : candidates.split(range))
        .forEach(
            part ->
                plan.move(
                    part, owner, plan.leastUtilisedWith(demand.requestsPerSecond(part)), REASON));
  }

  private static boolean hasRoom(PlannedOwner owner, double perSecond) {
    return owner.utilisationWith(perSecond) <= KeyPlanner.MAX_UTILISATION;
  }

  /** Returns the parts of a range between some of its keys, which are sorted. */
  private static Stream<KeyRange> without(KeyRange range, List<Integer> keys) {
    List<KeyRange> parts = new ArrayList<>();
    int first = range.first();
    for (int key : keys) {
      if (range.contains(key)) {
        if (first < key) {
          parts.add(new KeyRange(first, key - 1));
        }
        first = key + 1;
      }
    }
    if (first <= range.last()) {
      parts.add(new KeyRange(first, range.last()));
    }
    return parts.stream();
  }
}
