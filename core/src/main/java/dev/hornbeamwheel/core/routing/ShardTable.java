package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Owners and epochs of the shards and isolated keys of one service, in primitive arrays. */
final class ShardTable {
  /** Owner index of a slice without an owner. */
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

  /** Returns the place of an isolated key, or a negative number if the key is not isolated. */
  int isolatedIndex(long keyHash) {
    if (isolatedCount == 0) {
      return -1;
    }
    int place = probe(isolatedKeys, keyHash);
    return isolatedKeys[place] == keyHash ? place : -1;
  }

  /** Returns the owner of a key; null if it has none or is on the move. */
  UpstreamId owner(int shard, int isolated) {
    int index = isolated < 0 ? owners[shard] : isolatedOwners[isolated];
    return index < 0 ? null : upstreams.get(index);
  }

  long epoch(int shard, int isolated) {
    return isolated < 0 ? epochs[shard] : isolatedEpochs[isolated];
  }

  /** Replaces what is known of the cell of a row. */
  void apply(OwnershipRow row) {
    removeIsolatedOf(row.cell().index());
    int[] known = row.owners().stream().mapToInt(this::indexOf).toArray();
    for (int slice = 0; slice < row.size(); slice++) {
      boolean owned = row.owner(slice) >= 0 && !row.moving(slice);
      int owner = owned ? known[row.owner(slice)] : NO_OWNER;
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
    int place = probe(isolatedKeys, keyHash);
    isolatedCount += isolatedKeys[place] == 0 ? 1 : 0;
    isolatedKeys[place] = keyHash;
    isolatedOwners[place] = owner;
    isolatedEpochs[place] = epoch;
    isolatedCells[place] = cell;
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

  /** Returns the index that holds a key or that it would be stored at. */
  private static int probe(long[] keys, long key) {
    int last = keys.length - 1;
    int place = Long.hashCode(key * 0x9E3779B97F4A7C15L) & last;
    while (keys[place] != 0 && keys[place] != key) {
      place = (place + 1) & last;
    }
    return place;
  }
}
