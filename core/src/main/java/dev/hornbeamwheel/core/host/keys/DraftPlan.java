package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.keys.KeyPlanner.MovableRange;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The moves that are planned so far, with the demand and the ranges of the owners after them. */
final class DraftPlan {
  /** Maximum mean number of ranges per owner; each range is renewed by its own call. */
  private static final int MAX_MEAN_RANGES_PER_OWNER = 6;

  private final KeyDemand demand;
  private final Map<UpstreamId, PlannedOwner> owners = new LinkedHashMap<>();
  private final List<MovableRange> movable;
  private final List<KeyMove> moves = new ArrayList<>();

  /**
   * Creates a plan without moves.
   *
   * @param movable all ranges that may be moved
   * @param inTransit the other ranges, whose new owners have not confirmed them yet
   * @param upstreams upstreams that may own keys
   */
  DraftPlan(
      List<MovableRange> movable,
      List<KeyAssignment> inTransit,
      List<UpstreamRegistration> upstreams,
      KeyDemand demand,
      Capacity capacity) {
    this.demand = demand;
    this.movable = new ArrayList<>(movable);
    upstreams.stream()
        .sorted(Comparator.comparing(UpstreamRegistration::id))
        .map(upstream -> new PlannedOwner(upstream, capacity.requestsPerSecond(upstream)))
        .forEach(owner -> owners.put(owner.id(), owner));
    movable.stream()
        .filter(movableRange -> !movableRange.needsNewOwner())
        .forEach(movableRange -> addDemand(movableRange.range(), movableRange.owner()));
    inTransit.forEach(
        assignment -> addDemand(assignment.range(), assignment.owner().incarnation().id()));
  }

  private void addDemand(KeyRange range, UpstreamId ownerId) {
    owner(ownerId).ifPresent(owner -> owner.addRange(demand.requestsPerSecond(range)));
  }

  List<KeyMove> moves() {
    return moves;
  }

  Collection<PlannedOwner> owners() {
    return owners.values();
  }

  Optional<PlannedOwner> owner(UpstreamId id) {
    return Optional.ofNullable(owners.get(id));
  }

  boolean tooManyRanges() {
    return movable.size() >= MAX_MEAN_RANGES_PER_OWNER * owners.size();
  }

  /** Returns the ranges that must be moved. */
  List<KeyRange> withoutOwner() {
    return movable.stream().filter(MovableRange::needsNewOwner).map(MovableRange::range).toList();
  }

  /** Returns the ranges of an owner that may be moved. */
  List<KeyRange> movableOf(PlannedOwner owner) {
    return movable.stream()
        .filter(movableRange -> !movableRange.needsNewOwner())
        .filter(movableRange -> movableRange.owner().equals(owner.id()))
        .map(MovableRange::range)
        .toList();
  }

  /** Returns the owner of a key that may be moved and need not be. */
  Optional<PlannedOwner> ownerOf(int key) {
    return movable.stream()
        .filter(range -> !range.needsNewOwner() && range.range().contains(key))
        .findFirst()
        .flatMap(range -> owner(range.owner()));
  }

  /** Returns the most utilised owner of keys that can be balanced. */
  Optional<PlannedOwner> mostUtilised() {
    return owners.values().stream()
        .filter(owner -> owner.hasRanges() && !owner.hasHotKey())
        .max(Comparator.comparingDouble(PlannedOwner::utilisation));
  }

  /**
   * Returns the upstream that would be least utilised with an added demand; one with a hot key only
   * if all have one.
   */
  PlannedOwner leastUtilisedWith(double addedPerSecond) {
    return owners.values().stream()
        .min(
            Comparator.comparing(PlannedOwner::hasHotKey)
                .thenComparingDouble(owner -> owner.utilisationWith(addedPerSecond)))
        .orElseThrow();
  }

  /** Moves a range from an owner to another. */
  void move(KeyRange range, PlannedOwner source, PlannedOwner destination, String reason) {
    source.removeDemand(demand.requestsPerSecond(range));
    assign(range, destination, reason);
  }

  /** Gives a range to an owner. */
  void assign(KeyRange range, PlannedOwner destination, String reason) {
    moves.add(new KeyMove(range, destination.registration(), reason));
    destination.addRange(demand.requestsPerSecond(range));
    removeFromMovable(range);
  }

  /**
   * Removes moved keys from the ranges that are available to later moves.
   *
   * <p>A range that needs a new owner is removed as a whole, because all its pieces are assigned.
   */
  private void removeFromMovable(KeyRange moved) {
    movable.stream()
        .filter(movableRange -> movableRange.range().contains(moved.first()))
        .findFirst()
        .ifPresent(
            movableRange -> {
              movable.remove(movableRange);
              if (movableRange.needsNewOwner()) {
                return;
              }
              if (movableRange.range().first() < moved.first()) {
                movable.add(part(movableRange, movableRange.range().first(), moved.first() - 1));
              }
              if (movableRange.range().last() > moved.last()) {
                movable.add(part(movableRange, moved.last() + 1, movableRange.range().last()));
              }
            });
  }

  private static MovableRange part(MovableRange movableRange, int first, int last) {
    return new MovableRange(
        new KeyRange(first, last), movableRange.owner(), movableRange.needsNewOwner());
  }
}
