package dev.hornbeamwheel.core.placement;

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
 * Makes the fewest moves that bring the worst upstream under a bound.
 *
 * <p>Nothing moves while the worst upstream stays under the trigger. Beyond it, slices move from
 * the worst to the best upstream until the worst is under the goal, hot keys before whole shards.
 * Moves of shards for the sake of balance are bounded per minute.
 */
final class BoundedChurnPolicy implements PlacementPolicy {
  /** Load of the worst upstream over the mean at which balancing starts. */
  private static final double TRIGGER = 1.12;

  /** Load of the worst upstream over the mean at which balancing ends. */
  private static final double GOAL = 1.06;

  /** Load of a hot key over the mean load of an upstream from which it is worth isolating. */
  private static final double HOT_KEY = 0.02;

  /** Least part of the gap between two upstreams that a move must close. */
  private static final double LEAST_GAIN = 0.1;

  /** Shards moved a minute for balance, as a part of all slices; at least one. */
  private static final double SHARDS_PER_MINUTE = 0.05;

  /** Greatest number of moves in one plan. */
  private static final int MOVES_PER_PLAN = 32;

  private static final long MINUTE_MILLIS = 60_000;

  private final Deque<Long> shardMoves = new ArrayDeque<>();

  private BoundedChurnPolicy() {}

  static BoundedChurnPolicy create() {
    return new BoundedChurnPolicy();
  }

  @Override
  public List<Move> plan(PlacementView view) {
    if (view.eligible().isEmpty()) {
      return List.of();
    }
    Loads loads = new Loads(view);
    List<Move> moves = new ArrayList<>(loads.placeHomeless());
    if (loads.worstOverMean() > TRIGGER) {
      balance(view, loads, moves);
    }
    return moves;
  }

  private void balance(PlacementView view, Loads loads, List<Move> moves) {
    long nowMillis = view.atMillis();
    shardMoves.removeIf(atMillis -> nowMillis - atMillis >= MINUTE_MILLIS);
    int slices = view.owners().size() + view.unassigned().size();
    int budget = Math.max(1, (int) (slices * SHARDS_PER_MINUTE)) - shardMoves.size();
    int homeless = moves.size();
    while (loads.worstOverMean() > GOAL && moves.size() - homeless < MOVES_PER_PLAN) {
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

  /** Loads of upstreams as the moves of one plan change them. */
  private static final class Loads {
    private final PlacementView view;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<UpstreamId, Node> byId = new HashMap<>();
    private final double mean;

    Loads(PlacementView view) {
      this.view = view;
      view.eligible().forEach(this::add);
      view.owners().forEach((slice, owner) -> put(slice, byId.get(owner)));
      if (view.isolationAllowed()) {
        view.load().keySet().stream().filter(this::isolatable).forEach(this::offer);
      }
      double total =
          view.load().entrySet().stream()
              .filter(entry -> !isolatable(entry.getKey()))
              .mapToDouble(Map.Entry::getValue)
              .sum();
      double external = nodes.stream().mapToDouble(node -> node.external).sum();
      mean = (total + external) / nodes.stream().mapToDouble(node -> node.capacity).sum();
    }

    private void add(PlacementView.Target target) {
      Node node =
          new Node(
              target.upstream(),
              target.capacity(),
              view.externalLoad().getOrDefault(target.upstream(), 0.0));
      nodes.add(node);
      byId.put(node.id, node);
    }

    private boolean isolatable(Slice slice) {
      return slice.isolated() && !view.owners().containsKey(slice);
    }

    private void put(Slice slice, Node node) {
      if (node != null) {
        node.slices.add(slice);
        node.load += load(slice);
      }
    }

    /** Lets a hot key that is not isolated yet move by itself. */
    private void offer(Slice key) {
      Node node = byId.get(view.owners().get(Slice.ofShard(key.shard())));
      if (node != null) {
        node.keys.add(key);
      }
    }

    private double load(Slice slice) {
      return view.load().getOrDefault(slice, 0.0);
    }

    double worstOverMean() {
      return mean == 0 ? 0 : worst().relative() / mean;
    }

    /** Places slices without an eligible owner, heaviest first, each on the best upstream. */
    List<Move> placeHomeless() {
      Stream<Slice> orphaned =
          view.owners().entrySet().stream()
              .filter(entry -> !byId.containsKey(entry.getValue()))
              .map(Map.Entry::getKey);
      return Stream.concat(orphaned, view.unassigned().stream())
          .sorted(Comparator.comparingDouble(this::load).reversed().thenComparing(Slice::compareTo))
          .map(this::placeHomeless)
          .toList();
    }

    private Move placeHomeless(Slice slice) {
      Node node =
          nodes.stream()
              .min(
                  Comparator.comparingDouble(Node::relative)
                      .thenComparingDouble(each -> each.slices.size() / each.capacity))
              .orElseThrow();
      put(slice, node);
      return new Move(slice, node.id, "no eligible owner");
    }

    /** Makes the move that most lowers the worst upstream, a hot key if one does well enough. */
    Optional<Move> bestMove(boolean shardsAllowed) {
      Node from = worst();
      Node to = best();
      double gap = (from.relative() - to.relative()) * Math.min(from.capacity, to.capacity);
      Comparator<Slice> byFit =
          Comparator.comparingDouble((Slice slice) -> Math.abs(load(slice) - gap / 2))
              .thenComparing(Comparator.naturalOrder());
      Optional<Slice> key =
          Stream.concat(from.keys.stream(), from.slices.stream().filter(Slice::isolated))
              .filter(slice -> load(slice) >= HOT_KEY * mean * from.capacity)
              .filter(slice -> helps(slice, gap))
              .min(byFit);
      Optional<Slice> shard =
          shardsAllowed
              ? from.slices.stream()
                  .filter(slice -> !slice.isolated())
                  .filter(slice -> helps(slice, gap))
                  .min(byFit)
              : Optional.empty();
      return key.or(() -> shard).map(slice -> move(slice, from, to));
    }

    private boolean helps(Slice slice, double gap) {
      double load = load(slice);
      return Math.min(load, gap - load) >= LEAST_GAIN * gap;
    }

    private Move move(Slice slice, Node from, Node to) {
      double load = load(slice);
      from.load -= load;
      to.load += load;
      boolean isolates = from.keys.remove(slice);
      from.slices.remove(slice);
      to.slices.add(slice);
      return new Move(slice, to.id, isolates ? "isolate hot key" : "balance");
    }

    private Node worst() {
      return nodes.stream().max(Comparator.comparingDouble(Node::relative)).orElseThrow();
    }

    private Node best() {
      return nodes.stream().min(Comparator.comparingDouble(Node::relative)).orElseThrow();
    }
  }

  private static final class Node {
    final UpstreamId id;
    final double capacity;
    final double external;
    final List<Slice> slices = new ArrayList<>();
    final List<Slice> keys = new ArrayList<>();
    double load;

    Node(UpstreamId id, double capacity, double external) {
      this.id = id;
      this.capacity = capacity;
      this.external = external;
      this.load = external;
    }

    double relative() {
      return load / capacity;
    }
  }
}
