package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.placement.Rendezvous;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** The newest version of each item that a member holds, summed up in a digest. */
final class ItemStore {
  /** Number of buckets of a digest. */
  static final int BUCKETS = 64;

  /** Patches kept per item. */
  private static final int HISTORY = 8;

  /** Size from which patches are kept, in bytes. */
  private static final int PATCHED_BYTES = 256;

  private final Map<ItemKey, Entry> entries = new HashMap<>();
  private final Set<ItemKey> mortal = new HashSet<>();
  private final long[] buckets = new long[BUCKETS];
  private final List<Set<ItemKey>> keysByBucket = new ArrayList<>(BUCKETS);

  ItemStore() {
    IntStream.range(0, BUCKETS).forEach(bucket -> keysByBucket.add(new HashSet<>()));
  }

  /** Keeps an item if it is newer than the one held; returns whether it was. */
  boolean merge(Item item, long nowMillis) {
    Entry old = entries.get(item.key());
    if (old != null && !item.stamp().isAfter(old.item.stamp())) {
      return false;
    }
    if (item.ageMillis() >= retentionMillis(item)) {
      return false;
    }
    Entry entry = new Entry(item, nowMillis, old == null ? keyHash(item.key()) : old.keyHash);
    if (old != null) {
      toggle(old);
      entry.inherit(old);
    }
    toggle(entry);
    entries.put(item.key(), entry);
    keysByBucket.get(entry.bucket()).add(item.key());
    if (retentionMillis(item) == Long.MAX_VALUE) {
      mortal.remove(item.key());
    } else {
      mortal.add(item.key());
    }
    return true;
  }

  Optional<Item> find(ItemKey key) {
    return Optional.ofNullable(entries.get(key)).map(entry -> entry.item);
  }

  ItemVersion stamp(ItemKey key) {
    Entry entry = entries.get(key);
    return entry == null ? ItemVersion.none(key) : entry.stamp;
  }

  List<Long> digest() {
    return Arrays.stream(buckets).boxed().toList();
  }

  /** Returns the indices of the buckets in which another digest differs from the own one. */
  List<Integer> differing(List<Long> digest) {
    return IntStream.range(0, Math.min(BUCKETS, digest.size()))
        .filter(bucket -> digest.get(bucket) != buckets[bucket])
        .boxed()
        .toList();
  }

  Collection<ItemKey> keys(int bucket) {
    return keysByBucket.get(bucket);
  }

  List<ItemVersion> versions(int bucket) {
    return keysByBucket.get(bucket).stream().map(this::stamp).toList();
  }

  /** Returns what brings a holder of {@code held} up to date; empty if it is. */
  List<ItemChange> changesSince(ItemVersion held, long nowMillis) {
    Entry entry = entries.get(held.key());
    if (entry == null || !entry.stamp.isAfter(held)) {
      return List.of();
    }
    List<ItemChange> patches = entry.patchesSince(held, nowMillis);
    return patches.isEmpty() ? List.of(new ItemChange.Whole(entry.aged(nowMillis))) : patches;
  }

  /** Returns the newest step of an item as a patch if one is kept, else the whole item. */
  ItemChange latestChange(ItemKey key, long nowMillis) {
    Entry entry = entries.get(key);
    return entry.history.isEmpty()
        ? new ItemChange.Whole(entry.aged(nowMillis))
        : entry.aged(entry.history.peekLast(), nowMillis);
  }

  long ageMillis(ItemKey key, long nowMillis) {
    return entries.get(key).aged(nowMillis).ageMillis();
  }

  /** Drops items that are older than their retention; returns their keys. */
  List<ItemKey> expire(long nowMillis) {
    List<Entry> expired =
        mortal.stream()
            .map(entries::get)
            .filter(entry -> entry.aged(nowMillis).ageMillis() >= retentionMillis(entry.item))
            .toList();
    expired.forEach(this::remove);
    return expired.stream().map(entry -> entry.item.key()).toList();
  }

  int size() {
    return entries.size();
  }

  private void remove(Entry entry) {
    toggle(entry);
    entries.remove(entry.item.key());
    mortal.remove(entry.item.key());
    keysByBucket.get(entry.bucket()).remove(entry.item.key());
  }

  private void toggle(Entry entry) {
    buckets[entry.bucket()] ^= entry.hash();
  }

  private static long retentionMillis(Item item) {
    boolean dead =
        item.key().topic() == Topic.MEMBER && !MemberCodec.state(item.version()).present();
    return dead ? GossipTiming.TOMBSTONE_MILLIS : item.key().topic().retentionMillis();
  }

  private static long keyHash(ItemKey key) {
    return Rendezvous.hash(key.topic() + "/" + key.name());
  }

  private static final class Entry {
    final Item item;
    final ItemVersion stamp;
    final long learnedMillis;
    final long keyHash;
    final Deque<ItemChange.Patch> history = new ArrayDeque<>(0);

    Entry(Item item, long learnedMillis, long keyHash) {
      this.item = item;
      this.stamp = item.stamp();
      this.learnedMillis = learnedMillis;
      this.keyHash = keyHash;
    }

    void inherit(Entry old) {
      boolean patched =
          item.key().topic() != Topic.MEMBER
              && Math.min(old.item.content().size(), item.content().size()) >= PATCHED_BYTES;
      if (!patched) {
        return;
      }
      history.addAll(old.history);
      history.addLast(Patches.between(old.item, item));
      if (history.size() > HISTORY) {
        history.removeFirst();
      }
    }

    int bucket() {
      return (int) (keyHash & (BUCKETS - 1));
    }

    long hash() {
      long versionHash = Rendezvous.weight(stamp.version(), stamp.contentHash());
      return Rendezvous.weight(keyHash, versionHash);
    }

    Item aged(long nowMillis) {
      long age = item.ageMillis() + Math.max(0, nowMillis - learnedMillis);
      return new Item(item.key(), item.version(), age, item.content());
    }

    ItemChange.Patch aged(ItemChange.Patch patch, long nowMillis) {
      long age = aged(nowMillis).ageMillis();
      return new ItemChange.Patch(
          patch.base(), patch.target(), age, patch.prefix(), patch.suffix(), patch.middle());
    }

    List<ItemChange> patchesSince(ItemVersion held, long nowMillis) {
      List<ItemChange> patches =
          history.stream()
              .dropWhile(patch -> !patch.base().equals(held))
              .map(patch -> (ItemChange) aged(patch, nowMillis))
              .toList();
      int size = patches.stream().mapToInt(Sizes::of).sum();
      return size < item.content().size() ? patches : List.of();
    }
  }
}
