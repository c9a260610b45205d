package dev.hornbeamwheel.core.model;

/**
 * Index of a shard, a fixed part of the key space of one service.
 *
 * @param index index from zero to the shard count of the service, exclusive
 */
public record ShardId(int index) implements Comparable<ShardId> {
  /** Rejects a negative index. */
  public ShardId {
    if (index < 0) {
      throw new IllegalArgumentException("shard index must not be negative: " + index);
    }
  }

  /** Returns the shard with the given index. */
  public static ShardId of(int index) {
    return new ShardId(index);
  }

  @Override
  public int compareTo(ShardId other) {
    return Integer.compare(index, other.index);
  }
}
