package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Balances load with few moves and a limited rate of shard moves.
 *
 * <p>Nothing moves for balance while the load of the most loaded upstream stays within {@link
 * #BALANCE_START_RATIO} of the mean. Above it, slices move from the most to the least loaded
 * upstream until the ratio is at most {@link #BALANCE_STOP_RATIO}, hot keys before whole shards.
 * Shard moves for balance are limited per minute and cell.
 */
final class BoundedChurnPolicy implements PlacementPolicy {
  /** Ratio of the highest load to the mean load above which balancing starts. */
  private static final double BALANCE_START_RATIO = 1.12;

  /** Ratio of the highest load to the mean load at which balancing ends. */
  private static final double BALANCE_STOP_RATIO = 1.06;

  /**
   * Minimum load of a hot key, relative to the mean load of an upstream, for it to move by itself.
   */
  private static final double HOT_KEY_RATIO = 0.02;

  /**
   * Part of the load gap between two upstreams that a move must carry at least, and by which it
   * must at least stay below the gap.
   */
  private static final double MIN_GAIN_RATIO = 0.1;

  /** Shard moves per minute for balance, relative to the number of slices; at least one. */
  private static final double SHARD_MOVES_PER_MINUTE_RATIO = 0.05;

  /** Maximum number of moves for balance in one plan. */
  private static final int MAX_MOVES_PER_PLAN = 32;

  private static final long MINUTE_MILLIS = 60_000;

  private final Map<CellId, Deque<Long>> shardMovesByCell = new HashMap<>();

  private BoundedChurnPolicy() {}

  static BoundedChurnPolicy create() {
    return new BoundedChurnPolicy();
  }

  @Override
  public List<Move> plan(PlacementView view) {
    if (view.eligible().isEmpty()) {
      return List.of();
    }
    UpstreamLoads loads = new UpstreamLoads(view);
    List<Move> moves = new ArrayList<>(loads.placeUnowned());
    if (loads.maxToMeanRatio() > BALANCE_START_RATIO) {
      balance(view, loads, moves);
    }
    return moves;
  }

  private void balance(PlacementView view, UpstreamLoads loads, List<Move> moves) {
    long nowMillis = view.atMillis();
    Deque<Long> shardMoves =
        shardMovesByCell.computeIfAbsent(view.cell(), cell -> new ArrayDeque<>());
    shardMoves.removeIf(atMillis -> nowMillis - atMillis >= MINUTE_MILLIS);
    int slices = view.owners().size() + view.unassigned().size();
    int budget = Math.max(1, (int) (slices * SHARD_MOVES_PER_MINUTE_RATIO)) - shardMoves.size();
    int unownedMoves = moves.size();
    while (loads.maxToMeanRatio() > BALANCE_STOP_RATIO
        && moves.size() - unownedMoves < MAX_MOVES_PER_PLAN) {
      Optional<Move> move = loads.bestMove(budget > 0);
      if (move.isEmpty()) {
        return;
      }
      moves.add(move.get());
      if (!move.get().slice().isolated()) {
        budget--;
        shardMoves.addLast(nowMillis);
      }
    }
  }

  /** Loads of the eligible upstreams, updated by the moves of one plan. */
  private static final class UpstreamLoads {
    private final PlacementView view;
    private final List<UpstreamLoad> upstreams = new ArrayList<>();
    private final Map<UpstreamId, UpstreamLoad> byId = new HashMap<>();
    private final double mean;

    UpstreamLoads(PlacementView view) {
      this.view = view;
      view.eligible().forEach(this::add);
      view.owners().forEach((slice, owner) -> addSlice(slice, byId.get(owner)));
      if (view.isolationAllowed()) {
        view.load().keySet().stream()
            .filter(this::isIsolationCandidate)
            .forEach(this::addIsolationCandidate);
      }
      double total =
          view.load().entrySet().stream()
              .filter(entry -> !isIsolationCandidate(entry.getKey()))
              .mapToDouble(Map.Entry::getValue)
              .sum();
      double external = upstreams.stream().mapToDouble(upstream -> upstream.externalLoad).sum();
      mean =
          (total + external) / upstreams.stream().mapToDouble(upstream -> upstream.capacity).sum();
    }

    private void add(PlacementView.Target target) {
      UpstreamLoad upstream =
          new UpstreamLoad(
              target.upstream(),
              target.capacity(),
              view.externalLoad().getOrDefault(target.upstream(), 0.0));
      upstreams.add(upstream);
      byId.put(upstream.id, upstream);
    }

    private boolean isIsolationCandidate(Slice slice) {
      return slice.isolated() && !view.owners().containsKey(slice);
    }

    private void addSlice(Slice slice, UpstreamLoad upstream) {
      if (upstream != null) {
        upstream.slices.add(slice);
        upstream.load += load(slice);
      }
    }

    /** Makes a hot key that is not isolated yet a candidate for a move by itself. */
    private void addIsolationCandidate(Slice key) {
      UpstreamLoad upstream = byId.get(view.owners().get(Slice.ofShard(key.shard())));
      if (upstream != null) {
        upstream.isolationCandidates.add(key);
      }
    }

    private double load(Slice slice) {
      return view.load().getOrDefault(slice, 0.0);
    }

    double maxToMeanRatio() {
      return mean == 0 ? 0 : mostLoaded().relativeLoad() / mean;
    }

    /**
     * Places slices without an eligible owner, heaviest first, each on the least loaded upstream.
     */
    List<Move> placeUnowned() {
      Stream<Slice> withoutEligibleOwner =
          view.owners().entrySet().stream()
              .filter(entry -> !byId.containsKey(entry.getValue()))
              .map(Map.Entry::getKey);
      return Stream.concat(withoutEligibleOwner, view.unassigned().stream())
          .sorted(Comparator.comparingDouble(this::load).reversed().thenComparing(Slice::compareTo))
          .map(this::placeUnowned)
          .toList();
    }

    private Move placeUnowned(Slice slice) {
      UpstreamLoad upstream =
          upstreams.stream()
              .min(
                  Comparator.comparingDouble(UpstreamLoad::relativeLoad)
                      .thenComparingDouble(each -> each.slices.size() / each.capacity))
              .orElseThrow();
      addSlice(slice, upstream);
      return new Move(slice, upstream.id, "no eligible owner");
    }

    /**
     * Makes the move whose load is closest to half the gap between the most and the least loaded
     * upstream; prefers hot keys to shards.
     */
    Optional<Move> bestMove(boolean shardsAllowed) {
      UpstreamLoad from = mostLoaded();
      UpstreamLoad to = leastLoaded();
      double gap = (from.relativeLoad() - to.relativeLoad()) * Math.min(from.capacity, to.capacity);
      Comparator<Slice> byFit =
          Comparator.comparingDouble((Slice slice) -> Math.abs(load(slice) - gap / 2))
              .thenComparing(Comparator.naturalOrder());
      Optional<Slice> key =
          Stream.concat(
                  from.isolationCandidates.stream(), from.slices.stream().filter(Slice::isolated))
              .filter(slice -> load(slice) >= HOT_KEY_RATIO * mean * from.capacity)
              .filter(slice -> reducesGap(slice, gap))
              .min(byFit);
      Optional<Slice> shard =
          shardsAllowed
              ? from.slices.stream()
                  .filter(slice -> !slice.isolated())
                  .filter(slice -> reducesGap(slice, gap))
                  .min(byFit)
              : Optional.empty();
      return key.or(() -> shard).map(slice -> move(slice, from, to));
    }

    private boolean reducesGap(Slice slice, double gap) {
      double load = load(slice);
      return Math.min(load, gap - load) >= MIN_GAIN_RATIO * gap;
    }

    private Move move(Slice slice, UpstreamLoad from, UpstreamLoad to) {
      double load = load(slice);
      from.load -= load;
      to.load += load;
      boolean isolates = from.isolationCandidates.remove(slice);
      from.slices.remove(slice);
      to.slices.add(slice);
      return new Move(slice, to.id, isolates ? "isolate hot key" : "balance");
    }

    private UpstreamLoad mostLoaded() {
      return upstreams.stream()
          .max(Comparator.comparingDouble(UpstreamLoad::relativeLoad))
          .orElseThrow();
    }

    private UpstreamLoad leastLoaded() {
      return upstreams.stream()
          .min(Comparator.comparingDouble(UpstreamLoad::relativeLoad))
          .orElseThrow();
    }
  }

  private static final class UpstreamLoad {
    final UpstreamId id;
    final double capacity;
    final double externalLoad;
    final List<Slice> slices = new ArrayList<>();
    final List<Slice> isolationCandidates = new ArrayList<>();
    double load;

    UpstreamLoad(UpstreamId id, double capacity, double externalLoad) {
      this.id = id;
      this.capacity = capacity;
      this.externalLoad = externalLoad;
      this.load = externalLoad;
    }

    double relativeLoad() {
      return load / capacity;
    }
  }
}
