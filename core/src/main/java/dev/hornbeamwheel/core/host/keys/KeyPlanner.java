package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans which ranges of keys move to which upstreams, with few and small moves.
 *
 * <p>Ranges that need a new owner come first, then upstreams without keys, then overloaded
 * upstreams. Busy keys tend to be adjacent, so a small range often carries much of the demand.
 */
final class KeyPlanner {
  /** Utilisation above which demand is moved away from an upstream. */
  static final double MAX_UTILISATION = 0.6;

  /** Minimum difference in utilisation between two upstreams that justifies a move. */
  static final double MIN_UTILISATION_GAP = 0.45;

  /** Maximum number of moves between eligible owners in one plan. */
  private static final int MAX_BALANCING_MOVES = 4;

  /** Maximum mean number of ranges per owner; each range is renewed by its own call. */
  private static final int MAX_MEAN_RANGES_PER_OWNER = 6;

  /** Maximum number of pieces into which a range that needs a new owner is split. */
  private static final int MAX_PIECES_PER_RANGE = 3;

  /** Maximum demand of a move, as a multiple of the demand that would level both upstreams. */
  private static final double MAX_OVERSHOOT_FACTOR = 1.3;

  /** Demand from which a move levels both upstreams well enough, as a fraction of the same. */
  private static final double SUFFICIENT_FRACTION = 0.8;

  /**
   * A range that may be moved.
   *
   * @param range the keys
   * @param owner the current owner
   * @param needsNewOwner whether the range must be moved
   */
  record MovableRange(KeyRange range, UpstreamId owner, boolean needsNewOwner) {}

  private final KeyDemand demand;
  private final Map<UpstreamId, EligibleUpstream> eligible = new LinkedHashMap<>();
  private final List<MovableRange> movable;
  private final List<KeyMove> moves = new ArrayList<>();

  /** An upstream that may own keys, with the demand that it has after the planned moves. */
  private static final class EligibleUpstream {
    private final UpstreamRegistration registration;
    private final double capacityPerSecond;
    private double demandPerSecond;
    private int rangeCount;

    private EligibleUpstream(UpstreamRegistration registration, double capacityPerSecond) {
      this.registration = registration;
      this.capacityPerSecond = capacityPerSecond;
    }

    private double utilisation() {
      return demandPerSecond / capacityPerSecond;
    }

    private double utilisationWith(double addedPerSecond) {
      return (demandPerSecond + addedPerSecond) / capacityPerSecond;
    }
  }

  private KeyPlanner(
      List<MovableRange> movable,
      List<KeyAssignment> inTransit,
      List<UpstreamRegistration> upstreams,
      KeyDemand demand,
      Capacity capacity) {
    this.demand = demand;
    this.movable = new ArrayList<>(movable);
    upstreams.stream()
        .sorted(Comparator.comparing(UpstreamRegistration::id))
        .forEach(
            registration ->
                eligible.put(
                    registration.id(),
                    new EligibleUpstream(registration, capacity.requestsPerSecond(registration))));
    movable.stream()
        .filter(movableRange -> !movableRange.needsNewOwner())
        .forEach(movableRange -> addDemand(movableRange.range(), movableRange.owner()));
    inTransit.forEach(
        assignment -> addDemand(assignment.range(), assignment.owner().incarnation().id()));
  }

  /**
   * Returns the moves to make.
   *
   * @param movable all ranges that may be moved
   * @param inTransit the other ranges, whose new owners have not confirmed them yet
   * @param upstreams upstreams that may own keys
   */
  static List<KeyMove> plan(
      List<MovableRange> movable,
      List<KeyAssignment> inTransit,
      List<UpstreamRegistration> upstreams,
      KeyDemand demand,
      Capacity capacity) {
    KeyPlanner planner = new KeyPlanner(movable, inTransit, upstreams, demand, capacity);
    if (!planner.eligible.isEmpty()) {
      planner.assignNewOwners();
      planner.fillEmptyUpstreams();
      if (!planner.tooManyRanges()) {
        planner.balance();
      }
    }
    return planner.moves;
  }

  /** Divides the keys of a service without owners among upstreams, in proportion to capacity. */
  static Map<KeyRange, UpstreamRegistration> initialOwners(
      List<UpstreamRegistration> upstreams, Capacity capacity) {
    List<UpstreamRegistration> ordered = interleavedByDataCentre(upstreams);
    double total = ordered.stream().mapToDouble(capacity::requestsPerSecond).sum();
    Map<KeyRange, UpstreamRegistration> owners = new HashMap<>();
    double assignedCapacity = 0;
    int first = 0;
    for (int i = 0; i < ordered.size(); i++) {
      assignedCapacity += capacity.requestsPerSecond(ordered.get(i));
      int last =
          i == ordered.size() - 1
              ? KeyRange.MAX_KEY
              : (int) Math.round(assignedCapacity / total * (KeyRange.MAX_KEY + 1)) - 1;
      if (last >= first) {
        owners.put(new KeyRange(first, last), ordered.get(i));
        first = last + 1;
      }
    }
    return owners;
  }

  /** Orders upstreams so that adjacent ones are in different data centres where possible. */
  private static List<UpstreamRegistration> interleavedByDataCentre(
      List<UpstreamRegistration> upstreams) {
    Map<DataCentreId, Integer> counts = new HashMap<>();
    Map<UpstreamId, Integer> indexInDataCentre = new HashMap<>();
    upstreams.stream()
        .sorted(Comparator.comparing(UpstreamRegistration::id))
        .forEach(
            registration ->
                indexInDataCentre.put(
                    registration.id(), counts.merge(registration.dataCentre(), 1, Integer::sum)));
    return upstreams.stream()
        .sorted(
            Comparator.comparing(
                    (UpstreamRegistration registration) -> indexInDataCentre.get(registration.id()))
                .thenComparing(UpstreamRegistration::dataCentre))
        .toList();
  }

  private void addDemand(KeyRange range, UpstreamId ownerId) {
    EligibleUpstream owner = eligible.get(ownerId);
    if (owner != null) {
      owner.demandPerSecond += demand.requestsPerSecond(range);
      owner.rangeCount++;
    }
  }

  private void assignNewOwners() {
    boolean tooMany = tooManyRanges();
    movable.stream()
        .filter(MovableRange::needsNewOwner)
        .flatMap(
            movableRange ->
                (tooMany ? List.of(movableRange.range()) : split(movableRange.range())).stream())
        .sorted(Comparator.comparingDouble((KeyRange piece) -> -demand.requestsPerSecond(piece)))
        .forEach(
            piece ->
                assign(piece, leastUtilisedWith(demand.requestsPerSecond(piece)), "owner unfit"));
  }

  private boolean tooManyRanges() {
    return movable.size() >= MAX_MEAN_RANGES_PER_OWNER * eligible.size();
  }

  private List<KeyRange> split(KeyRange range) {
    List<KeyRange> pieces = new ArrayList<>();
    KeyRange remaining = range;
    double piecePerSecond = demand.requestsPerSecond(range) / MAX_PIECES_PER_RANGE;
    for (int i = 1; i < MAX_PIECES_PER_RANGE && remaining.size() > 1; i++) {
      Optional<KeyRange> piece = prefix(remaining, piecePerSecond);
      if (piece.isEmpty()) {
        break;
      }
      pieces.add(piece.get());
      remaining = new KeyRange(piece.get().last() + 1, remaining.last());
    }
    pieces.add(remaining);
    return pieces;
  }

  private void fillEmptyUpstreams() {
    List.copyOf(eligible.values()).stream()
        .filter(upstream -> upstream.rangeCount == 0)
        .forEach(
            empty ->
                mostUtilised()
                    .filter(source -> source != empty)
                    .ifPresent(
                        source ->
                            moveDemand(
                                source,
                                empty,
                                levellingDemand(source, empty),
                                "upstream had no keys")));
  }

  private void balance() {
    for (int i = 0; i < MAX_BALANCING_MOVES; i++) {
      Optional<EligibleUpstream> source = mostUtilised();
      EligibleUpstream destination = leastUtilisedWith(0);
      if (source.isEmpty()
          || source.get().utilisation() < MAX_UTILISATION
          || source.get().utilisation() - destination.utilisation() < MIN_UTILISATION_GAP
          || !moveDemand(
              source.get(), destination, levellingDemand(source.get(), destination), "demand")) {
        return;
      }
    }
  }

  /** Returns the demand whose move would give both upstreams the same utilisation. */
  private static double levellingDemand(EligibleUpstream source, EligibleUpstream destination) {
    return (source.demandPerSecond * destination.capacityPerSecond
            - destination.demandPerSecond * source.capacityPerSecond)
        / (source.capacityPerSecond + destination.capacityPerSecond);
  }

  /**
   * Moves keys that carry at most about the wanted demand: the fewest that carry most of it, since
   * each key that moves costs its callers a wait; or else those that carry the most.
   *
   * @return false if no range carries at least an eighth of the wanted demand
   */
  private boolean moveDemand(
      EligibleUpstream source,
      EligibleUpstream destination,
      double wantedPerSecond,
      String reason) {
    double sufficientPerSecond = wantedPerSecond * SUFFICIENT_FRACTION;
    Comparator<KeyRange> byDemand = Comparator.comparingDouble(demand::requestsPerSecond);
    List<KeyRange> candidates =
        movable.stream()
            .filter(
                movableRange ->
                    !movableRange.needsNewOwner()
                        && movableRange.owner().equals(source.registration.id()))
            .flatMap(movableRange -> candidates(movableRange.range(), wantedPerSecond).stream())
            .filter(
                range -> demand.requestsPerSecond(range) <= wantedPerSecond * MAX_OVERSHOOT_FACTOR)
            .toList();
    Optional<KeyRange> chosen =
        candidates.stream()
            .filter(range -> demand.requestsPerSecond(range) >= sufficientPerSecond)
            .min(Comparator.comparingInt(KeyRange::size).thenComparing(byDemand.reversed()))
            .or(() -> candidates.stream().max(byDemand));
    if (chosen.isEmpty() || demand.requestsPerSecond(chosen.get()) < wantedPerSecond / 8) {
      return false;
    }
    source.demandPerSecond -= demand.requestsPerSecond(chosen.get());
    assign(chosen.get(), destination, reason);
    return true;
  }

  private List<KeyRange> candidates(KeyRange range, double wantedPerSecond) {
    List<KeyRange> found = new ArrayList<>();
    if (range.size() == 1) {
      return List.of(range);
    }
    prefix(range, wantedPerSecond).ifPresent(found::add);
    suffix(range, wantedPerSecond).ifPresent(found::add);
    fewestKeys(range, wantedPerSecond).ifPresent(found::add);
    return found;
  }

  /** Returns the first keys of a range, never all, that carry about the wanted demand. */
  private Optional<KeyRange> prefix(KeyRange range, double wantedPerSecond) {
    double carriedPerSecond = 0;
    int last = -1;
    for (int key : demand.requestCounts(range).keySet()) {
      double keyPerSecond = demand.requestsPerSecond(key);
      if (carriedPerSecond + keyPerSecond > wantedPerSecond * MAX_OVERSHOOT_FACTOR) {
        break;
      }
      carriedPerSecond += keyPerSecond;
      last = key;
      if (carriedPerSecond >= wantedPerSecond) {
        break;
      }
    }
    if (carriedPerSecond < wantedPerSecond / 2) {
      last = Math.max(last, lastKeyOfEvenPrefix(range, wantedPerSecond - carriedPerSecond));
    }
    last = Math.min(last, range.last() - 1);
    return last < range.first() ? Optional.empty() : Optional.of(new KeyRange(range.first(), last));
  }

  /** Returns the fewest adjacent keys of a range, never all, that carry most of the demand. */
  private Optional<KeyRange> fewestKeys(KeyRange range, double wantedPerSecond) {
    double sufficientPerSecond = wantedPerSecond * SUFFICIENT_FRACTION;
    Deque<Integer> window = new ArrayDeque<>();
    double carriedPerSecond = 0;
    Optional<KeyRange> fewest = Optional.empty();
    for (int key : demand.requestCounts(range).keySet()) {
      window.addLast(key);
      carriedPerSecond += demand.requestsPerSecond(key);
      double firstPerSecond = demand.requestsPerSecond(window.peekFirst());
      while (window.size() > 1 && carriedPerSecond - firstPerSecond >= sufficientPerSecond) {
        window.removeFirst();
        carriedPerSecond -= firstPerSecond;
        firstPerSecond = demand.requestsPerSecond(window.peekFirst());
      }
      KeyRange candidate = new KeyRange(window.peekFirst(), key);
      if (carriedPerSecond >= sufficientPerSecond
          && carriedPerSecond <= wantedPerSecond * MAX_OVERSHOOT_FACTOR
          && candidate.size() < fewest.orElse(range).size()) {
        fewest = Optional.of(candidate);
      }
    }
    return fewest;
  }

  /** Returns the last keys of a range, never all, that carry about the wanted demand. */
  private Optional<KeyRange> suffix(KeyRange range, double wantedPerSecond) {
    double carriedPerSecond = 0;
    int first = -1;
    for (int key : demand.requestCounts(range).descendingKeySet()) {
      double keyPerSecond = demand.requestsPerSecond(key);
      if (carriedPerSecond + keyPerSecond > wantedPerSecond * MAX_OVERSHOOT_FACTOR) {
        break;
      }
      carriedPerSecond += keyPerSecond;
      first = key;
      if (carriedPerSecond >= wantedPerSecond) {
        break;
      }
    }
    return first <= range.first()
        ? Optional.empty()
        : Optional.of(new KeyRange(first, range.last()));
  }

  /**
   * Returns the last key of a prefix that carries the wanted demand.
   *
   * <p>This assumes that the demand is spread evenly, so it returns -1 if a key was requested.
   */
  private int lastKeyOfEvenPrefix(KeyRange range, double wantedPerSecond) {
    if (!demand.requestCounts(range).isEmpty()) {
      return -1;
    }
    double backgroundPerSecond = demand.backgroundPerSecond(range.size());
    double fraction =
        backgroundPerSecond <= 0 ? 0.5 : Math.min(0.5, wantedPerSecond / backgroundPerSecond);
    return range.first() + (int) (range.size() * fraction) - 1;
  }

  private void assign(KeyRange range, EligibleUpstream destination, String reason) {
    moves.add(new KeyMove(range, destination.registration, reason));
    destination.demandPerSecond += demand.requestsPerSecond(range);
    destination.rangeCount++;
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

  private Optional<EligibleUpstream> mostUtilised() {
    return eligible.values().stream()
        .filter(upstream -> upstream.rangeCount > 0)
        .max(Comparator.comparingDouble(EligibleUpstream::utilisation));
  }

  private EligibleUpstream leastUtilisedWith(double addedPerSecond) {
    return eligible.values().stream()
        .min(Comparator.comparingDouble(upstream -> upstream.utilisationWith(addedPerSecond)))
        .orElseThrow();
  }
}
