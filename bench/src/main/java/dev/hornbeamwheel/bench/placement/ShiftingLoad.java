package dev.hornbeamwheel.bench.placement;

import dev.hornbeamwheel.core.model.Slice;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A skewed load on the shards of one service whose hot keys change within minutes. */
final class ShiftingLoad {
  /** Hot keys at any time. */
  static final int HOT_KEYS = 43;

  /** Seconds in which a hot key becomes hot, and cools down again. */
  private static final int RAMP_SECONDS = 20;

  /** Mean seconds for which a key stays hot. */
  private static final int HOT_SECONDS = 300;

  /** Share of all requests that goes to hot keys. */
  private static final double HOT_SHARE = 0.35;

  /** Spread of the logarithm of the load of a shard. */
  private static final double SKEW = 0.8;

  /** Spread of the change of a shard's load in a second. */
  private static final double DRIFT = 0.004;

  private final Random random;
  private final double[] shards;
  private final List<HotKey> keys = new ArrayList<>();
  private long nextHash = 1;

  ShiftingLoad(int shardCount, long seed) {
    this.random = new Random(seed);
    this.shards = new double[shardCount];
    for (int shard = 0; shard < shardCount; shard++) {
      shards[shard] = random.nextGaussian() * SKEW;
    }
    for (int rank = 0; rank < HOT_KEYS; rank++) {
      keys.add(hotKey(rank, random.nextInt(HOT_SECONDS)));
    }
  }

  /** Lets a second pass. */
  void advance() {
    for (int shard = 0; shard < shards.length; shard++) {
      shards[shard] += random.nextGaussian() * DRIFT;
    }
    keys.replaceAll(key -> key.age < key.lifeSeconds ? key.older() : hotKey(key.rank, 0));
  }

  /** Returns the part of all requests on each shard, without its hot keys. */
  double[] coldParts() {
    double[] parts = new double[shards.length];
    double sum = 0;
    for (int shard = 0; shard < shards.length; shard++) {
      parts[shard] = Math.exp(shards[shard]);
      sum += parts[shard];
    }
    for (int shard = 0; shard < shards.length; shard++) {
      parts[shard] *= (1 - HOT_SHARE) / sum;
    }
    return parts;
  }

  /** Returns the part of all requests on each hot key. */
  Map<Slice, Double> hotParts() {
    double all = 0;
    for (int rank = 0; rank < HOT_KEYS; rank++) {
      all += weight(rank);
    }
    Map<Slice, Double> parts = new HashMap<>();
    for (HotKey key : keys) {
      parts.put(key.slice, HOT_SHARE * weight(key.rank) / all * key.warmth());
    }
    return parts;
  }

  private HotKey hotKey(int rank, int age) {
    Slice slice = Slice.ofKey(random.nextInt(shards.length), nextHash++);
    int life = HOT_SECONDS / 2 + random.nextInt(HOT_SECONDS);
    return new HotKey(rank, slice, age, life);
  }

  private static double weight(int rank) {
    return 1 / Math.sqrt(rank + 1.0);
  }

  private record HotKey(int rank, Slice slice, int age, int lifeSeconds) {
    HotKey older() {
      return new HotKey(rank, slice, age + 1, lifeSeconds);
    }

    double warmth() {
      int edge = Math.min(age, lifeSeconds - age);
      return Math.max(0, Math.min(1, (double) edge / RAMP_SECONDS));
    }
  }
}
