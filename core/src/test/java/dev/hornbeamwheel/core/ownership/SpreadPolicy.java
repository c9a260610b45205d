package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.placement.Move;
import dev.hornbeamwheel.core.placement.PlacementPolicy;
import dev.hornbeamwheel.core.placement.PlacementView;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A placement policy that evens out the number of slices per upstream and isolates each key with
 * load.
 */
final class SpreadPolicy implements PlacementPolicy {
  @Override
  public List<Move> plan(PlacementView view) {
    Map<UpstreamId, Integer> counts = new TreeMap<>();
    view.eligible().forEach(target -> counts.put(target.upstream(), 0));
    new TreeMap<>(view.owners())
        .values()
        .forEach(owner -> counts.computeIfPresent(owner, (id, n) -> n + 1));
    List<Move> moves = new ArrayList<>();
    List<Slice> unowned = new ArrayList<>(view.unassigned());
    Map<Slice, UpstreamId> owners = new TreeMap<>(view.owners());
    owners.forEach(
        (slice, owner) -> {
          if (!counts.containsKey(owner)) {
            unowned.add(slice);
          }
        });
    if (view.isolationAllowed()) {
      new TreeMap<>(view.load())
          .keySet().stream()
              .filter(slice -> slice.isolated() && !owners.containsKey(slice))
              .filter(slice -> owners.containsKey(Slice.ofShard(slice.shard())))
              .filter(slice -> !unowned.contains(Slice.ofShard(slice.shard())))
              .limit(1)
              .forEach(unowned::add);
    }
    unowned.forEach(
        slice -> moves.add(new Move(slice, assignToLeastLoaded(counts), "no eligible owner")));
    if (moves.isEmpty()) {
      rebalance(owners, counts, moves);
    }
    return moves;
  }

  private static UpstreamId assignToLeastLoaded(Map<UpstreamId, Integer> counts) {
    UpstreamId least = counts.entrySet().stream().min(Map.Entry.comparingByValue()).get().getKey();
    counts.merge(least, 1, Integer::sum);
    return least;
  }

  private static void rebalance(
      Map<Slice, UpstreamId> owners, Map<UpstreamId, Integer> counts, List<Move> moves) {
    var most = counts.entrySet().stream().max(Map.Entry.comparingByValue()).get();
    var least = counts.entrySet().stream().min(Map.Entry.comparingByValue()).get();
    if (most.getValue() - least.getValue() > 1) {
      owners.entrySet().stream()
          .filter(entry -> entry.getValue().equals(most.getKey()))
          .min(Comparator.comparing(Map.Entry::getKey))
          .ifPresent(e -> moves.add(new Move(e.getKey(), least.getKey(), "rebalance")));
    }
  }

  /** Returns a load report with the given hot keys. */
  static Map<Slice, Double> hotKeyLoad(Slice... keys) {
    Map<Slice, Double> load = new HashMap<>();
    List.of(keys).forEach(key -> load.put(key, 1.0));
    return load;
  }
}
