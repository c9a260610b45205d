package dev.hornbeamwheel.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Compares the items of two members and carries over the difference. */
final class Exchange {
  private final ItemStore store;
  private final Beacons beacons;

  Exchange(ItemStore store, Beacons beacons) {
    this.store = store;
    this.beacons = beacons;
  }

  GossipMessage.Digest digest() {
    return new GossipMessage.Digest(store.digest(), beacons.counters());
  }

  /** Returns the versions in which this member differs; empty if the two agree. */
  Optional<GossipMessage> answer(GossipMessage.Digest digest) {
    List<Integer> buckets = new ArrayList<>();
    List<ItemVersion> versions = new ArrayList<>();
    for (int bucket : store.differing(digest.buckets())) {
      List<ItemVersion> inBucket = store.versions(bucket);
      boolean fits = versions.size() + inBucket.size() <= GossipTiming.MAX_VERSIONS;
      if (buckets.isEmpty() || fits) {
        buckets.add(bucket);
        versions.addAll(inBucket);
      }
    }
    return buckets.isEmpty() && !beacons.exceed(digest.beacons())
        ? Optional.empty()
        : Optional.of(new GossipMessage.Versions(buckets, versions, beacons.counters()));
  }

  /** Returns the messages that bring both members up to date in the buckets named. */
  List<GossipMessage> reconcile(GossipMessage.Versions versions, long nowMillis) {
    Map<ItemKey, ItemVersion> theirs = new HashMap<>();
    versions.versions().forEach(version -> theirs.put(version.key(), version));
    List<ItemVersion> behind = new ArrayList<>(theirs.values());
    versions.buckets().stream()
        .filter(bucket -> bucket >= 0 && bucket < ItemStore.BUCKETS)
        .flatMap(bucket -> store.keys(bucket).stream())
        .filter(key -> !theirs.containsKey(key))
        .forEach(key -> behind.add(ItemVersion.none(key)));
    List<GossipMessage> messages = new ArrayList<>(changesFor(behind, nowMillis));
    pull(theirs.values()).ifPresent(messages::add);
    return messages;
  }

  /** Asks for those of the versions that are newer than what is held. */
  Optional<GossipMessage> pull(Collection<ItemVersion> versions) {
    List<ItemVersion> held =
        versions.stream()
            .filter(version -> version.isAfter(store.stamp(version.key())))
            .map(version -> store.stamp(version.key()))
            .toList();
    return held.isEmpty() ? Optional.empty() : Optional.of(new GossipMessage.Pull(held));
  }

  /** Returns what brings a holder of these versions up to date, in messages of bounded size. */
  List<GossipMessage> changesFor(List<ItemVersion> held, long nowMillis) {
    List<ItemChange> changes =
        held.stream().flatMap(version -> store.changesSince(version, nowMillis).stream()).toList();
    return split(changes);
  }

  /** Returns fresh items as messages: small changes themselves, large ones by name. */
  List<GossipMessage> pushes(Collection<ItemKey> fresh, long nowMillis) {
    List<ItemChange> changes = new ArrayList<>();
    List<ItemVersion> large = new ArrayList<>();
    fresh.stream()
        .sorted(Comparator.comparing(ItemKey::topic).thenComparing(ItemKey::name))
        .forEach(
            key -> {
              ItemChange change = store.latestChange(key, nowMillis);
              if (Sizes.of(change) <= GossipTiming.INLINE_BYTES) {
                changes.add(change);
              } else {
                large.add(store.stamp(key));
              }
            });
    List<GossipMessage> messages = new ArrayList<>(split(changes));
    if (!large.isEmpty()) {
      messages.add(new GossipMessage.Announce(large));
    }
    return messages;
  }

  /** Returns the item that a change results in, or nothing if its base is not held. */
  Optional<Item> resolve(ItemChange change) {
    return change instanceof ItemChange.Whole whole
        ? Optional.of(whole.item())
        : store.find(change.key()).flatMap(base -> Patches.apply(base, (ItemChange.Patch) change));
  }

  ItemVersion target(ItemChange change) {
    return change instanceof ItemChange.Whole whole
        ? whole.item().stamp()
        : ((ItemChange.Patch) change).target();
  }

  private static List<GossipMessage> split(List<ItemChange> changes) {
    List<GossipMessage> messages = new ArrayList<>();
    List<ItemChange> current = new ArrayList<>();
    int size = 0;
    for (ItemChange change : changes) {
      size += Sizes.of(change);
      current.add(change);
      if (size >= GossipTiming.CHANGES_BYTES) {
        messages.add(new GossipMessage.Changes(current));
        current = new ArrayList<>();
        size = 0;
      }
    }
    if (!current.isEmpty()) {
      messages.add(new GossipMessage.Changes(current));
    }
    return messages;
  }
}
