package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps the shards and isolated keys of one service to their owners and epochs.
 *
 * <p>Data is in primitive arrays; isolated keys are in a hash table with linear probing.
 */
final class ShardTable {
  /** Owner index that marks a slice without an owner. */
  private static final int NO_OWNER = -1;

  private static final int INITIAL_ISOLATED = 64;

  private final int mask;
  private final int[] owners;
  private final long[] epochs;
  private final List<UpstreamId> upstreams = new ArrayList<>();
  private final Map<UpstreamId, Integer> indexes = new HashMap<>();
  private long[] isolatedKeys = new long[INITIAL_ISOLATED];
  private int[] isolatedOwners = new int[INITIAL_ISOLATED];
  private long[] isolatedEpochs = new long[INITIAL_ISOLATED];
  private int[] isolatedCells = new int[INITIAL_ISOLATED];
  private int isolatedCount;

  ShardTable(int shards) {
    mask = shards - 1;
    owners = new int[shards];
    epochs = new long[shards];
    Arrays.fill(owners, NO_OWNER);
  }

  int shards() {
    return mask + 1;
  }

  int shardOf(long keyHash) {
    return (int) (keyHash & mask);
  }

  /** Returns the index of an isolated key; negative if the key is not isolated. */
  int isolatedIndex(long keyHash) {
    if (isolatedCount == 0) {
      return -1;
    }
    int index = probe(isolatedKeys, keyHash);
    return isolatedKeys[index] == keyHash ? index : -1;
  }

  /** Returns the owner of a key; null if it has none or is moving to another owner. */
  UpstreamId owner(int shard, int isolated) {
    int ownerIndex = isolated < 0 ? owners[shard] : isolatedOwners[isolated];
    return ownerIndex < 0 ? null : upstreams.get(ownerIndex);
  }

  long epoch(int shard, int isolated) {
    return isolated < 0 ? epochs[shard] : isolatedEpochs[isolated];
  }

  /** Replaces the entries of a row's cell. */
  void apply(OwnershipRow row) {
    removeIsolatedOf(row.cell().index());
    int[] ownerIndexes = row.owners().stream().mapToInt(this::indexOf).toArray();
    for (int slice = 0; slice < row.size(); slice++) {
      boolean owned = row.owner(slice) >= 0 && !row.moving(slice);
      int owner = owned ? ownerIndexes[row.owner(slice)] : NO_OWNER;
      if (row.keyHash(slice) == 0) {
        owners[row.shard(slice)] = owner;
        epochs[row.shard(slice)] = row.epoch(slice);
      } else {
        putIsolated(row.keyHash(slice), owner, row.epoch(slice), row.cell().index());
      }
    }
  }

  private int indexOf(UpstreamId upstream) {
    return indexes.computeIfAbsent(
        upstream,
        added -> {
          upstreams.add(added);
          return upstreams.size() - 1;
        });
  }

  private void putIsolated(long keyHash, int owner, long epoch, int cell) {
    if (2 * (isolatedCount + 1) > isolatedKeys.length) {
      rebuildIsolated(2 * isolatedKeys.length, -1);
    }
    int index = probe(isolatedKeys, keyHash);
    isolatedCount += isolatedKeys[index] == 0 ? 1 : 0;
    isolatedKeys[index] = keyHash;
    isolatedOwners[index] = owner;
    isolatedEpochs[index] = epoch;
    isolatedCells[index] = cell;
  }

  private void removeIsolatedOf(int cell) {
    if (isolatedCount > 0) {
      rebuildIsolated(isolatedKeys.length, cell);
    }
  }

  private void rebuildIsolated(int capacity, int droppedCell) {
    long[] keys = isolatedKeys;
    int[] keyOwners = isolatedOwners;
    long[] keyEpochs = isolatedEpochs;
    int[] cells = isolatedCells;
    isolatedKeys = new long[capacity];
    isolatedOwners = new int[capacity];
    isolatedEpochs = new long[capacity];
    isolatedCells = new int[capacity];
    isolatedCount = 0;
    for (int i = 0; i < keys.length; i++) {
      if (keys[i] != 0 && cells[i] != droppedCell) {
        putIsolated(keys[i], keyOwners[i], keyEpochs[i], cells[i]);
      }
    }
  }

  /** Returns the index that holds a key, or the free index where it would be stored. */
  private static int probe(long[] keys, long key) {
    int last = keys.length - 1;
    int index = Long.hashCode(key * 0x9E3779B97F4A7C15L) & last;
    while (keys[index] != 0 && keys[index] != key) {
      index = (index + 1) & last;
    }
    return index;
  }
}
