package dev.hornbeamwheel.core.host.keys;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Selects parts of ranges that carry a wanted demand. */
final class MoveCandidates {
  /** Maximum demand of a move, as a multiple of the demand that would level both upstreams. */
  private static final double MAX_OVERSHOOT_FACTOR = 1.3;

  /** Demand from which a move levels both upstreams well enough, as a fraction of the same. */
  private static final double SUFFICIENT_FRACTION = 0.8;

  /** Maximum number of pieces into which a range is split. */
  private static final int MAX_PIECES_PER_RANGE = 3;

  private final KeyDemand demand;

  MoveCandidates(KeyDemand demand) {
    this.demand = demand;
  }

  /** Returns the pieces of a range, with about the same demand each. */
  List<KeyRange> split(KeyRange range) {
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

  /**
   * Returns keys that carry at most about the wanted demand: the fewest that carry most of it,
   * since each key that moves costs its callers a wait; or else those that carry the most.
   *
   * @return empty if no range carries at least an eighth of the wanted demand
   */
  Optional<KeyRange> best(Collection<KeyRange> ranges, double wantedPerSecond) {
    double sufficientPerSecond = wantedPerSecond * SUFFICIENT_FRACTION;
    Comparator<KeyRange> byDemand = Comparator.comparingDouble(demand::requestsPerSecond);
    List<KeyRange> candidates =
        ranges.stream()
            .flatMap(range -> candidates(range, wantedPerSecond).stream())
            .filter(
                range -> demand.requestsPerSecond(range) <= wantedPerSecond * MAX_OVERSHOOT_FACTOR)
            .toList();
    return candidates.stream()
        .filter(range -> demand.requestsPerSecond(range) >= sufficientPerSecond)
        .min(Comparator.comparingInt(KeyRange::size).thenComparing(byDemand.reversed()))
        .or(() -> candidates.stream().max(byDemand))
        .filter(range -> demand.requestsPerSecond(range) >= wantedPerSecond / 8);
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
}
