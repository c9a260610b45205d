package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.List;
import java.util.Map;

/** A message between two members. */
public sealed interface GossipMessage {
  /** Tells a watcher that the sender is alive. */
  record Heartbeat() implements GossipMessage {}

  /**
   * Summary of all items that the sender holds.
   *
   * @param buckets one hash per bucket of items; members that agree have equal hashes
   * @param beacons the greatest beacon seen of each data centre
   */
  record Digest(List<Long> buckets, Map<DataCentreId, Long> beacons) implements GossipMessage {
    /** Copies the collections. */
    public Digest {
      buckets = List.copyOf(buckets);
      beacons = Map.copyOf(beacons);
    }
  }

  /**
   * All versions that the sender holds in the buckets in which a digest differed.
   *
   * @param buckets indices of the buckets
   * @param versions what the sender holds in them
   * @param beacons the greatest beacon seen of each data centre
   */
  record Versions(
      List<Integer> buckets, List<ItemVersion> versions, Map<DataCentreId, Long> beacons)
      implements GossipMessage {
    /** Copies the collections. */
    public Versions {
      buckets = List.copyOf(buckets);
      versions = List.copyOf(versions);
      beacons = Map.copyOf(beacons);
    }
  }

  /** Asks for items that are newer than what the sender holds. */
  record Pull(List<ItemVersion> held) implements GossipMessage {
    /** Copies the list. */
    public Pull {
      held = List.copyOf(held);
    }
  }

  /** Carries newer items, pushed while they are fresh or pulled. */
  record Changes(List<ItemChange> changes) implements GossipMessage {
    /** Copies the list. */
    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /** Names fresh items that are too large to be pushed unasked. */
  record Announce(List<ItemVersion> versions) implements GossipMessage {
    /** Copies the list. */
    public Announce {
      versions = List.copyOf(versions);
    }
  }

  /** Carries an item for the receiver alone, which is neither kept nor relayed. */
  record Report(Item item) implements GossipMessage {}
}
