package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which keys move where, with few and small moves.
 *
 * <p>First come keys whose owner is gone or leaving, then upstreams without keys, then upstreams
 * with more demand than they can bear. Busy keys lie close together, so a small range often carries
 * much of the demand.
 */
final class KeyPlanner {
  /** An upstream is relieved when its demand exceeds this part of what it can serve. */
  static final double MAX_UTILISATION = 0.6;

  /** Least difference of utilisation between two upstreams that is worth a move. */
  static final double MIN_UTILISATION_GAP = 0.45;

  /** Most moves between owners that are both fit, in one plan. */
  private static final int MAX_BALANCING_MOVES = 4;

  /** Ranges that each owner has on average at most; each is renewed by a call of its own. */
  private static final int MAX_MEAN_RANGES_PER_OWNER = 6;

  /** Pieces into which the keys of a lost owner are cut at most. */
  private static final int MAX_PIECES_PER_RANGE = 3;

  /** A move may carry this multiple of the demand that would level both upstreams. */
  private static final double MAX_OVERSHOOT_FACTOR = 1.3;

  /**
   * A range as the planner sees it.
   *
   * @param range the keys
   * @param owner the owner
   * @param needsNewOwner whether the owner is to lose the range
   */
  record MovableRange(KeyRange range, UpstreamId owner, boolean needsNewOwner) {}

  private final KeyDemand demand;
  private final Map<UpstreamId, EligibleUpstream> eligible = new LinkedHashMap<>();
  private final List<MovableRange> movable;
  private final List<KeyMove> moves = new ArrayList<>();

  private static final class EligibleUpstream {
    private final UpstreamRegistration registration;
    private final double capacityPerSecond;
    private double demandPerSecond;
    private int rangeCount;

    private EligibleUpstream(UpstreamRegistration entry, double capacity) {
      this.registration = entry;
      this.capacityPerSecond = capacity;
    }

    private double utilisation() {
      return demandPerSecond / capacityPerSecond;
    }

    private double utilisationWith(double more) {
      return (demandPerSecond + more) / capacityPerSecond;
    }
  }

  private KeyPlanner(
      List<MovableRange> views,
      List<UpstreamRegistration> fit,
      KeyDemand demand,
      Capacity capacity) {
    this.demand = demand;
    this.movable = new ArrayList<>(views);
    fit.stream()
        .sorted(Comparator.comparing(UpstreamRegistration::id))
        .forEach(
            entry ->
                eligible.put(
                    entry.id(), new EligibleUpstream(entry, capacity.requestsPerSecond(entry))));
    views.stream().filter(view -> !view.needsNewOwner()).forEach(this::addDemand);
  }

  /**
   * Returns the moves to make now.
   *
   * @param views all ranges that may be moved
   * @param fit upstreams that may own keys
   */
  static List<KeyMove> plan(
      List<MovableRange> views,
      List<UpstreamRegistration> fit,
      KeyDemand demand,
      Capacity capacity) {
    KeyPlanner planner = new KeyPlanner(views, fit, demand, capacity);
    if (!planner.eligible.isEmpty()) {
      planner.assignNewOwners();
      planner.fillEmptyUpstreams();
      if (!planner.tooManyRanges()) {
        planner.balance();
      }
    }
    return planner.moves;
  }

  /** Returns equal ranges for a service whose keys never had an owner. */
  static Map<KeyRange, UpstreamRegistration> initialOwners(
      List<UpstreamRegistration> upstreams, Capacity capacity) {
    List<UpstreamRegistration> fit = interleavedByDataCentre(upstreams);
    double total = fit.stream().mapToDouble(capacity::requestsPerSecond).sum();
    Map<KeyRange, UpstreamRegistration> owners = new HashMap<>();
    double given = 0;
    int first = 0;
    for (int i = 0; i < fit.size(); i++) {
      given += capacity.requestsPerSecond(fit.get(i));
      int last =
          i == fit.size() - 1
              ? KeyRange.MAX_KEY
              : (int) Math.round(given / total * (KeyRange.MAX_KEY + 1)) - 1;
      if (last >= first) {
        owners.put(new KeyRange(first, last), fit.get(i));
        first = last + 1;
      }
    }
    return owners;
  }

  /** Returns upstreams in an order in which neighbours are in different data centres. */
  private static List<UpstreamRegistration> interleavedByDataCentre(
      List<UpstreamRegistration> entries) {
    Map<DataCentreId, Integer> seen = new HashMap<>();
    Map<UpstreamId, Integer> place = new HashMap<>();
    entries.stream()
        .sorted(Comparator.comparing(UpstreamRegistration::id))
        .forEach(entry -> place.put(entry.id(), seen.merge(entry.dataCentre(), 1, Integer::sum)));
    return entries.stream()
        .sorted(
            Comparator.comparing((UpstreamRegistration entry) -> place.get(entry.id()))
                .thenComparing(UpstreamRegistration::dataCentre))
        .toList();
  }

  private void addDemand(MovableRange view) {
    EligibleUpstream target = eligible.get(view.owner());
    if (target != null) {
      target.demandPerSecond += demand.requestsPerSecond(view.range());
      target.rangeCount++;
    }
  }

  private void assignNewOwners() {
    boolean many = tooManyRanges();
    movable.stream()
        .filter(MovableRange::needsNewOwner)
        .flatMap(view -> (many ? List.of(view.range()) : split(view.range())).stream())
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
    KeyRange rest = range;
    double share = demand.requestsPerSecond(range) / MAX_PIECES_PER_RANGE;
    for (int i = 1; i < MAX_PIECES_PER_RANGE && rest.size() > 1; i++) {
      Optional<KeyRange> cut = prefix(rest, share);
      if (cut.isEmpty()) {
        break;
      }
      pieces.add(cut.get());
      rest = new KeyRange(cut.get().last() + 1, rest.last());
    }
    pieces.add(rest);
    return pieces;
  }

  private void fillEmptyUpstreams() {
    List.copyOf(eligible.values()).stream()
        .filter(target -> target.rangeCount == 0)
        .forEach(
            empty ->
                mostUtilised()
                    .filter(donor -> donor != empty)
                    .ifPresent(
                        donor ->
                            moveDemand(
                                donor,
                                empty,
                                levellingDemand(donor, empty),
                                "upstream had no keys")));
  }

  private void balance() {
    for (int i = 0; i < MAX_BALANCING_MOVES; i++) {
      Optional<EligibleUpstream> donor = mostUtilised();
      EligibleUpstream taker = leastUtilisedWith(0);
      if (donor.isEmpty()
          || donor.get().utilisation() < MAX_UTILISATION
          || donor.get().utilisation() - taker.utilisation() < MIN_UTILISATION_GAP
          || !moveDemand(donor.get(), taker, levellingDemand(donor.get(), taker), "demand")) {
        return;
      }
    }
  }

  /** Returns the demand whose move would level the utilisation of both. */
  private static double levellingDemand(EligibleUpstream donor, EligibleUpstream taker) {
    return (donor.demandPerSecond * taker.capacityPerSecond
            - taker.demandPerSecond * donor.capacityPerSecond)
        / (donor.capacityPerSecond + taker.capacityPerSecond);
  }

  private boolean moveDemand(
      EligibleUpstream donor, EligibleUpstream taker, double wanted, String reason) {
    Optional<KeyRange> best =
        movable.stream()
            .filter(view -> !view.needsNewOwner() && view.owner().equals(donor.registration.id()))
            .flatMap(view -> candidates(view.range(), wanted).stream())
            .filter(range -> demand.requestsPerSecond(range) <= wanted * MAX_OVERSHOOT_FACTOR)
            .max(Comparator.comparingDouble((KeyRange range) -> demand.requestsPerSecond(range)));
    if (best.isEmpty() || demand.requestsPerSecond(best.get()) < wanted / 8) {
      return false;
    }
    donor.demandPerSecond -= demand.requestsPerSecond(best.get());
    assign(best.get(), taker, reason);
    return true;
  }

  private List<KeyRange> candidates(KeyRange range, double wanted) {
    List<KeyRange> found = new ArrayList<>();
    if (range.size() == 1) {
      return List.of(range);
    }
    prefix(range, wanted).ifPresent(found::add);
    suffix(range, wanted).ifPresent(found::add);
    return found;
  }

  /** Returns the keys from the start that carry about the wanted demand, never all of them. */
  private Optional<KeyRange> prefix(KeyRange range, double wanted) {
    double carried = 0;
    int last = -1;
    for (int key : demand.requestCounts(range).keySet()) {
      double more = demand.requestsPerSecond(key);
      if (carried + more > wanted * MAX_OVERSHOOT_FACTOR) {
        break;
      }
      carried += more;
      last = key;
      if (carried >= wanted) {
        break;
      }
    }
    if (carried < wanted / 2) {
      last = Math.max(last, lastKeyOfEvenPrefix(range, wanted - carried));
    }
    last = Math.min(last, range.last() - 1);
    return last < range.first() ? Optional.empty() : Optional.of(new KeyRange(range.first(), last));
  }

  private Optional<KeyRange> suffix(KeyRange range, double wanted) {
    double carried = 0;
    int first = -1;
    for (int key : demand.requestCounts(range).descendingKeySet()) {
      double more = demand.requestsPerSecond(key);
      if (carried + more > wanted * MAX_OVERSHOOT_FACTOR) {
        break;
      }
      carried += more;
      first = key;
      if (carried >= wanted) {
        break;
      }
    }
    return first <= range.first()
        ? Optional.empty()
        : Optional.of(new KeyRange(first, range.last()));
  }

  /** Returns the last key of a prefix that carries the wanted demand if no key was requested. */
  private int lastKeyOfEvenPrefix(KeyRange range, double wanted) {
    if (!demand.requestCounts(range).isEmpty()) {
      return -1;
    }
    double background = demand.backgroundPerSecond(range.size());
    double part = background <= 0 ? 0.5 : Math.min(0.5, wanted / background);
    return range.first() + (int) (range.size() * part) - 1;
  }

  private void assign(KeyRange range, EligibleUpstream taker, String reason) {
    moves.add(new KeyMove(range, taker.registration, reason));
    taker.demandPerSecond += demand.requestsPerSecond(range);
    taker.rangeCount++;
    removeFromMovable(range);
  }

  /** Removes the keys of a move from the ranges that later moves may use. */
  private void removeFromMovable(KeyRange moved) {
    movable.stream()
        .filter(view -> view.range().contains(moved.first()))
        .findFirst()
        .ifPresent(
            view -> {
              movable.remove(view);
              if (view.needsNewOwner()) {
                return;
              }
              if (view.range().first() < moved.first()) {
                movable.add(part(view, view.range().first(), moved.first() - 1));
              }
              if (view.range().last() > moved.last()) {
                movable.add(part(view, moved.last() + 1, view.range().last()));
              }
            });
  }

  private static MovableRange part(MovableRange view, int first, int last) {
    return new MovableRange(new KeyRange(first, last), view.owner(), view.needsNewOwner());
  }

  private Optional<EligibleUpstream> mostUtilised() {
    return eligible.values().stream()
        .filter(target -> target.rangeCount > 0)
        .max(Comparator.comparingDouble(EligibleUpstream::utilisation));
  }

  private EligibleUpstream leastUtilisedWith(double more) {
    return eligible.values().stream()
        .min(Comparator.comparingDouble(target -> target.utilisationWith(more)))
        .orElseThrow();
  }
}
