package dev.hornbeamwheel.core.model;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A key of a keyed service, for instance the name of a ledger.
 *
 * @param value the text of the key, never blank; at most 200 characters
 */
public record Key(String value) {
  /** Rejects a blank or over-long value. */
  public Key {
    Identifiers.requireValid("Key", value);
  }

  /** Returns the key with the given text. */
  public static Key of(String value) {
    return new Key(value);
  }

  /** Returns the 64-bit hash of this key, which is the same in every process and release. */
  public long hash() {
    return MurmurHash3.hash128x64(value.getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * Returns the shard that contains this key.
   *
   * @param shardCount the number of shards of the service, a power of two
   * @throws IllegalArgumentException if {@code shardCount} is not a power of two
   */
  public ShardId shard(int shardCount) {
    if (Integer.bitCount(shardCount) != 1) {
      throw new IllegalArgumentException("shard count must be a power of two: " + shardCount);
    }
    return ShardId.of((int) (hash() & (shardCount - 1)));
  }

  @Override
  public String toString() {
    return value;
  }
}
