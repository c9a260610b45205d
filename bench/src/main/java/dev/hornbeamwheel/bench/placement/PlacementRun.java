package dev.hornbeamwheel.bench.placement;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.placement.Move;
import dev.hornbeamwheel.core.placement.PlacementPolicy;
import dev.hornbeamwheel.core.placement.PlacementView;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

/** One policy under one seeded load. */
final class PlacementRun {
  static final int SHARDS = 1024;
  static final int UPSTREAMS = 20;

  /** Keys of a shard at 2.1 billion keys in 131,072 shards. */
  static final int KEYS_PER_SHARD = 16_022;

  static final int SECONDS = 1800;
  private static final int WARM_UP_SECONDS = 120;
  private static final int PLAN_SECONDS = 5;
  private static final int AWAY_SECONDS = 60;
  private static final int LEAVE_EVERY_SECONDS = 240;
  private static final double SMOOTHING = 0.15;
  private static final double NOISE = 0.05;
  private static final double REQUESTS_PER_SECOND = 100_000;
  private static final CellId CELL = CellId.of(ServiceId.of("stock-ledger"), 0);

  private final PlacementPolicy policy;
  private final ShiftingLoad load;
  private final Random random;
  private final boolean isolates;
  private final Map<Slice, UpstreamId> owners = new HashMap<>();
  private final Map<Slice, Double> measured = new HashMap<>();
  private final List<Double> imbalance = new ArrayList<>();
  private long movedKeys;
  private long movedShards;
  private long movedHotKeys;
  private int away = -1;

  PlacementRun(PlacementPolicy policy, boolean isolates, long seed) {
    this.policy = policy;
    this.isolates = isolates;
    this.load = new ShiftingLoad(SHARDS, seed);
    this.random = new Random(seed + 1);
  }

  Result run() {
    for (int second = 0; second < SECONDS; second++) {
      load.advance();
      away = awayAt(second);
      Map<Slice, Double> truth = truth();
      measure(truth);
      if (second % PLAN_SECONDS == 0 || second % LEAVE_EVERY_SECONDS == 0) {
        boolean counted = second >= WARM_UP_SECONDS;
        policy.plan(view(second)).forEach(move -> apply(move, counted));
        cool(truth);
      }
      if (second >= WARM_UP_SECONDS) {
        imbalance.add(worstOverMean(truth));
      }
    }
    return result();
  }

  private static int awayAt(int second) {
    int round = second / LEAVE_EVERY_SECONDS;
    boolean gone = round > 0 && second % LEAVE_EVERY_SECONDS < AWAY_SECONDS;
    return gone ? round * 7 % UPSTREAMS : -1;
  }

  /** Returns the true load of each slice, owned by itself or not. */
  private Map<Slice, Double> truth() {
    Map<Slice, Double> truth = new HashMap<>();
    double[] cold = load.coldParts();
    for (int shard = 0; shard < SHARDS; shard++) {
      truth.put(Slice.ofShard(shard), cold[shard] * REQUESTS_PER_SECOND);
    }
    load.hotParts()
        .forEach(
            (key, part) -> {
              truth.put(key, part * REQUESTS_PER_SECOND);
              if (!owners.containsKey(key)) {
                truth.merge(Slice.ofShard(key.shard()), part * REQUESTS_PER_SECOND, Double::sum);
              }
            });
    return truth;
  }

  private void measure(Map<Slice, Double> truth) {
    truth.forEach(
        (slice, value) -> {
          double seen = value * (1 + NOISE * random.nextGaussian());
          measured.merge(slice, seen, (old, now) -> old + SMOOTHING * (now - old));
        });
    measured.keySet().retainAll(truth.keySet());
  }

  /** Returns isolated keys that are no longer hot to their shards. */
  private void cool(Map<Slice, Double> truth) {
    owners.keySet().removeIf(slice -> slice.isolated() && !truth.containsKey(slice));
  }

  private PlacementView view(int second) {
    List<Slice> unassigned =
        IntStream.range(0, SHARDS)
            .mapToObj(Slice::ofShard)
            .filter(slice -> !owners.containsKey(slice))
            .toList();
    List<PlacementView.Target> eligible =
        IntStream.range(0, UPSTREAMS)
            .filter(index -> index != away)
            .mapToObj(index -> new PlacementView.Target(upstream(index), 1))
            .toList();
    return new PlacementView(
        second * 1000L,
        CELL,
        Map.copyOf(owners),
        unassigned,
        eligible,
        Map.copyOf(measured),
        Map.of(),
        isolates);
  }

  private static UpstreamId upstream(int index) {
    return UpstreamId.of("ledger-" + index);
  }

  private void apply(Move move, boolean counted) {
    boolean first = owners.put(move.slice(), move.to()) == null && !move.slice().isolated();
    if (first || !counted) {
      return;
    }
    movedKeys += move.slice().isolated() ? 1 : KEYS_PER_SHARD;
    movedHotKeys += move.slice().isolated() ? 1 : 0;
    movedShards += move.slice().isolated() ? 0 : 1;
  }

  private double worstOverMean(Map<Slice, Double> truth) {
    Map<UpstreamId, Double> loads = new HashMap<>();
    owners.forEach(
        (slice, owner) -> loads.merge(owner, truth.getOrDefault(slice, 0.0), Double::sum));
    int present = away < 0 ? UPSTREAMS : UPSTREAMS - 1;
    double sum = loads.values().stream().mapToDouble(Double::doubleValue).sum();
    return Collections.max(loads.values()) / (sum / present);
  }

  private Result result() {
    List<Double> sorted = imbalance.stream().sorted().toList();
    double minutes = (SECONDS - WARM_UP_SECONDS) / 60.0;
    return new Result(
        imbalance.stream().mapToDouble(Double::doubleValue).average().orElse(0),
        sorted.get((int) (sorted.size() * 0.99)),
        (double) sorted.stream().filter(value -> value > 1.2).count() / sorted.size(),
        movedKeys / minutes,
        movedShards / minutes,
        movedHotKeys / minutes);
  }

  /** What one run came to. */
  record Result(
      double meanImbalance,
      double p99Imbalance,
      double partAboveTarget,
      double keysPerMinute,
      double shardsPerMinute,
      double hotKeysPerMinute) {}
}
