package dev.hornbeamwheel.core.model;

/**
 * Unit of ownership: a shard, or one hot key that is isolated from its shard.
 *
 * @param shard the shard, or the shard that the key was isolated from
 * @param keyHash hash of the isolated key; zero for the shard itself
 */
public record Slice(int shard, long keyHash) implements Comparable<Slice> {
  /** Returns the slice of a whole shard. */
  public static Slice ofShard(int shard) {
    return new Slice(shard, 0);
  }

  /** Returns the slice of one isolated key. */
  public static Slice ofKey(int shard, long keyHash) {
    return new Slice(shard, keyHash);
  }

  /** Returns whether this slice is an isolated key. */
  public boolean isolated() {
    return keyHash != 0;
  }

  @Override
  public int compareTo(Slice other) {
    int byShard = Integer.compare(shard, other.shard);
    return byShard != 0 ? byShard : Long.compare(keyHash, other.keyHash);
  }
}
