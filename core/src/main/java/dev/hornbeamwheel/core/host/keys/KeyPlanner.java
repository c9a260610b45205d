package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
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
  static final double RELIEVE_ABOVE = 0.6;

  /** Least difference of utilisation between two upstreams that is worth a move. */
  static final double LEAST_DIFFERENCE = 0.45;

  /** Most moves between owners that are both fit, in one plan. */
  private static final int MAX_BALANCING_MOVES = 4;

  /** Ranges that each owner has on average at most; each is renewed by a call of its own. */
  private static final int MAX_RANGES_PER_OWNER = 6;

  /** Pieces into which the keys of a lost owner are cut at most. */
  private static final int ORPHAN_PIECES = 3;

  /** A move may carry this multiple of the demand that would level both upstreams. */
  private static final double OVERSHOOT = 1.3;

  /**
   * A range as the planner sees it.
   *
   * @param range the keys
   * @param owner the owner
   * @param orphaned whether the owner is to lose the range
   */
  record View(KeyRange range, UpstreamId owner, boolean orphaned) {}

  private final KeyDemand demand;
  private final Map<UpstreamId, Target> targets = new LinkedHashMap<>();
  private final List<View> views;
  private final List<KeyMove> moves = new ArrayList<>();

  private static final class Target {
    private final UpstreamEntry entry;
    private final double capacity;
    private double load;
    private int ranges;

    private Target(UpstreamEntry entry, double capacity) {
      this.entry = entry;
      this.capacity = capacity;
    }

    private double utilisation() {
      return load / capacity;
    }

    private double utilisationWith(double more) {
      return (load + more) / capacity;
    }
  }

  private KeyPlanner(
      List<View> views, List<UpstreamEntry> fit, KeyDemand demand, Capacity capacity) {
    this.demand = demand;
    this.views = new ArrayList<>(views);
    fit.stream()
        .sorted(Comparator.comparing(UpstreamEntry::id))
        .forEach(
            entry -> targets.put(entry.id(), new Target(entry, capacity.requestsPerSecond(entry))));
    views.stream().filter(view -> !view.orphaned()).forEach(this::count);
  }

  /**
   * Returns the moves to make now.
   *
   * @param views all ranges that may be moved
   * @param fit upstreams that may own keys
   */
  static List<KeyMove> plan(
      List<View> views, List<UpstreamEntry> fit, KeyDemand demand, Capacity capacity) {
    KeyPlanner planner = new KeyPlanner(views, fit, demand, capacity);
    if (!planner.targets.isEmpty()) {
      planner.placeOrphans();
      planner.fillEmpty();
      if (!planner.tooManyRanges()) {
        planner.balance();
      }
    }
    return planner.moves;
  }

  /** Returns equal ranges for a service whose keys never had an owner. */
  static Map<KeyRange, UpstreamEntry> firstOwners(
      List<UpstreamEntry> upstreams, Capacity capacity) {
    List<UpstreamEntry> fit = interleaved(upstreams);
    double total = fit.stream().mapToDouble(capacity::requestsPerSecond).sum();
    Map<KeyRange, UpstreamEntry> owners = new HashMap<>();
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
  private static List<UpstreamEntry> interleaved(List<UpstreamEntry> entries) {
    Map<DataCentreId, Integer> seen = new HashMap<>();
    Map<UpstreamId, Integer> place = new HashMap<>();
    entries.stream()
        .sorted(Comparator.comparing(UpstreamEntry::id))
        .forEach(entry -> place.put(entry.id(), seen.merge(entry.dataCentre(), 1, Integer::sum)));
    return entries.stream()
        .sorted(
            Comparator.comparing((UpstreamEntry entry) -> place.get(entry.id()))
                .thenComparing(UpstreamEntry::dataCentre))
        .toList();
  }

  private void count(View view) {
    Target target = targets.get(view.owner());
    if (target != null) {
      target.load += demand.perSecond(view.range());
      target.ranges++;
    }
  }

  private void placeOrphans() {
    boolean many = tooManyRanges();
    views.stream()
        .filter(View::orphaned)
        .flatMap(view -> (many ? List.of(view.range()) : pieces(view.range())).stream())
        .sorted(Comparator.comparingDouble((KeyRange piece) -> -demand.perSecond(piece)))
        .forEach(piece -> give(piece, leastUsedWith(demand.perSecond(piece)), "owner unfit"));
  }

  private boolean tooManyRanges() {
    return views.size() >= MAX_RANGES_PER_OWNER * targets.size();
  }

  private List<KeyRange> pieces(KeyRange range) {
    List<KeyRange> pieces = new ArrayList<>();
    KeyRange rest = range;
    double share = demand.perSecond(range) / ORPHAN_PIECES;
    for (int i = 1; i < ORPHAN_PIECES && rest.size() > 1; i++) {
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

  private void fillEmpty() {
    List.copyOf(targets.values()).stream()
        .filter(target -> target.ranges == 0)
        .forEach(
            empty ->
                mostUsed()
                    .filter(donor -> donor != empty)
                    .ifPresent(
                        donor ->
                            relieve(
                                donor, empty, levelling(donor, empty), "upstream had no keys")));
  }

  private void balance() {
    for (int i = 0; i < MAX_BALANCING_MOVES; i++) {
      Optional<Target> donor = mostUsed();
      Target taker = leastUsedWith(0);
      if (donor.isEmpty()
          || donor.get().utilisation() < RELIEVE_ABOVE
          || donor.get().utilisation() - taker.utilisation() < LEAST_DIFFERENCE
          || !relieve(donor.get(), taker, levelling(donor.get(), taker), "demand")) {
        return;
      }
    }
  }

  /** Returns the demand whose move would level the utilisation of both. */
  private static double levelling(Target donor, Target taker) {
    return (donor.load * taker.capacity - taker.load * donor.capacity)
        / (donor.capacity + taker.capacity);
  }

  private boolean relieve(Target donor, Target taker, double wanted, String reason) {
    Optional<KeyRange> best =
        views.stream()
            .filter(view -> !view.orphaned() && view.owner().equals(donor.entry.id()))
            .flatMap(view -> candidates(view.range(), wanted).stream())
            .filter(range -> demand.perSecond(range) <= wanted * OVERSHOOT)
            .max(Comparator.comparingDouble((KeyRange range) -> demand.perSecond(range)));
    if (best.isEmpty() || demand.perSecond(best.get()) < wanted / 8) {
      return false;
    }
    donor.load -= demand.perSecond(best.get());
    give(best.get(), taker, reason);
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
    for (int key : demand.requested(range).keySet()) {
      double more = demand.perSecond(key);
      if (carried + more > wanted * OVERSHOOT) {
        break;
      }
      carried += more;
      last = key;
      if (carried >= wanted) {
        break;
      }
    }
    if (carried < wanted / 2) {
      last = Math.max(last, evenCut(range, wanted - carried));
    }
    last = Math.min(last, range.last() - 1);
    return last < range.first() ? Optional.empty() : Optional.of(new KeyRange(range.first(), last));
  }

  private Optional<KeyRange> suffix(KeyRange range, double wanted) {
    double carried = 0;
    int first = -1;
    for (int key : demand.requested(range).descendingKeySet()) {
      double more = demand.perSecond(key);
      if (carried + more > wanted * OVERSHOOT) {
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
  private int evenCut(KeyRange range, double wanted) {
    if (!demand.requested(range).isEmpty()) {
      return -1;
    }
    double background = demand.background(range.size());
    double part = background <= 0 ? 0.5 : Math.min(0.5, wanted / background);
    return range.first() + (int) (range.size() * part) - 1;
  }

  private void give(KeyRange range, Target taker, String reason) {
    moves.add(new KeyMove(range, taker.entry, reason));
    taker.load += demand.perSecond(range);
    taker.ranges++;
    cutOut(range);
  }

  /** Removes the keys of a move from the ranges that later moves may use. */
  private void cutOut(KeyRange moved) {
    views.stream()
        .filter(view -> view.range().contains(moved.first()))
        .findFirst()
        .ifPresent(
            view -> {
              views.remove(view);
              if (view.orphaned()) {
                return;
              }
              if (view.range().first() < moved.first()) {
                views.add(part(view, view.range().first(), moved.first() - 1));
              }
              if (view.range().last() > moved.last()) {
                views.add(part(view, moved.last() + 1, view.range().last()));
              }
            });
  }

  private static View part(View view, int first, int last) {
    return new View(new KeyRange(first, last), view.owner(), view.orphaned());
  }

  private Optional<Target> mostUsed() {
    return targets.values().stream()
        .filter(target -> target.ranges > 0)
        .max(Comparator.comparingDouble(Target::utilisation));
  }

  private Target leastUsedWith(double more) {
    return targets.values().stream()
        .min(Comparator.comparingDouble(target -> target.utilisationWith(more)))
        .orElseThrow();
  }
}
