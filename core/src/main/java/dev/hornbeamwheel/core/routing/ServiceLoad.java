package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.Arrays;

/** Counts the load of one service between two reports, in primitive arrays. */
final class ServiceLoad {
  /** Number of keys counted individually; a new key replaces the one with the fewest requests. */
  private static final int TRACKED_KEYS = 64;

  /** Minimum fraction of the service's requests at which a key is reported. */
  private static final double HOT_KEY_MIN_SHARE = 0.02;

  private final int[] requests;
  private final long[] busyMillis;
  private final int[] touchedShards;
  private int touchedCount;
  private long totalRequests;
  private final long[] keyHashes = new long[TRACKED_KEYS];
  private final int[] keyShards = new int[TRACKED_KEYS];
  private final long[] keyRequests = new long[TRACKED_KEYS];
  private final long[] keyBusyMillis = new long[TRACKED_KEYS];

  ServiceLoad(int shards) {
    requests = new int[shards];
    busyMillis = new long[shards];
    touchedShards = new int[shards];
  }

  int shards() {
    return requests.length;
  }

  void add(int shard, long keyHash, boolean isolated, long runMillis) {
    if (!isolated) {
      addToShard(shard, runMillis);
    }
    totalRequests++;
    addToKey(shard, keyHash, runMillis);
  }

  private void addToShard(int shard, long runMillis) {
    if (requests[shard] == 0) {
      touchedShards[touchedCount++] = shard;
    }
    requests[shard]++;
    busyMillis[shard] += runMillis;
  }

  private void addToKey(int shard, long keyHash, long runMillis) {
    int index = trackedIndexOf(keyHash);
    if (keyHashes[index] != keyHash) {
      keyHashes[index] = keyHash;
      keyShards[index] = shard;
      keyBusyMillis[index] = 0;
    }
    keyRequests[index]++;
    keyBusyMillis[index] += runMillis;
  }

  void report(ServiceId service, Outbox outbox) {
    for (int i = 0; i < touchedCount; i++) {
      int shard = touchedShards[i];
      outbox.add(
          new RoutingEffect.ReportLoad(service, shard, 0, requests[shard], busyMillis[shard]));
      requests[shard] = 0;
      busyMillis[shard] = 0;
    }
    for (int i = 0; i < TRACKED_KEYS; i++) {
      if (keyRequests[i] > 0 && keyRequests[i] >= HOT_KEY_MIN_SHARE * totalRequests) {
        outbox.add(
            new RoutingEffect.ReportLoad(
                service, keyShards[i], keyHashes[i], keyRequests[i], keyBusyMillis[i]));
      }
    }
    Arrays.fill(keyRequests, 0);
    Arrays.fill(keyHashes, 0);
    Arrays.fill(keyBusyMillis, 0);
    touchedCount = 0;
    totalRequests = 0;
  }

  /** Returns the index of a key, or that of the key with the fewest requests. */
  private int trackedIndexOf(long keyHash) {
    int leastIndex = 0;
    for (int i = 0; i < TRACKED_KEYS; i++) {
      if (keyHashes[i] == keyHash) {
        return i;
      }
      leastIndex = keyRequests[i] < keyRequests[leastIndex] ? i : leastIndex;
    }
    return leastIndex;
  }
}
