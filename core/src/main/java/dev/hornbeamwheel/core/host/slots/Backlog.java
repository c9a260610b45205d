package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.fairness.ShareGroup;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Counts the waiting requests of one service ahead of another, by the owner of their key. */
final class Backlog {
  private final Map<Optional<UpstreamId>, Integer> counts = new HashMap<>();
  private final Map<Optional<UpstreamId>, Map<ShareGroup, Integer>> shareCounts = new HashMap<>();
  private final boolean serviceSaturated;

  /**
   * Creates an empty backlog.
   *
   * @param serviceSaturated whether the request rate of the service is close to the total
   *     throughput of its upstreams
   */
  Backlog(boolean serviceSaturated) {
    this.serviceSaturated = serviceSaturated;
  }

  boolean serviceSaturated() {
    return serviceSaturated;
  }

  /** Adds requests; {@code keyOwner} is empty if any upstream of the service can serve them. */
  void add(Optional<UpstreamId> keyOwner, int count) {
    counts.merge(keyOwner, count, Integer::sum);
  }

  /** Returns the number of requests ahead for a key owner. */
  int ahead(Optional<UpstreamId> keyOwner) {
    return counts.getOrDefault(keyOwner, 0);
  }

  /** Adds requests of a share, which are counted apart from all others. */
  void addToShare(Optional<UpstreamId> keyOwner, ShareGroup group, int count) {
    shareCounts.computeIfAbsent(keyOwner, id -> new HashMap<>()).merge(group, count, Integer::sum);
  }

  /** Returns the number of requests of a share ahead for a key owner. */
  int aheadInShare(Optional<UpstreamId> keyOwner, ShareGroup group) {
    return shareCounts.getOrDefault(keyOwner, Map.of()).getOrDefault(group, 0);
  }
}
