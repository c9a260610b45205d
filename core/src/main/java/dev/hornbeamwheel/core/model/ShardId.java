package dev.hornbeamwheel.core.model;

/**
 * Number of a shard, a fixed share of the keys of one service.
 *
 * @param index from zero to the shard count of the service, exclusive
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
