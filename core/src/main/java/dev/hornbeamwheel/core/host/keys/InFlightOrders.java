package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The orders of one service that have no answer yet, by number and by upstream. */
final class InFlightOrders {
  private final Map<Long, OwnedRange> rangesById = new HashMap<>();
  private final Map<Long, List<GrantTracker>> grantTrackers = new HashMap<>();
  private final Map<UpstreamIncarnation, Integer> countsByOwner = new HashMap<>();

  /** Adds an order; a grant counts on the clock of the range's owner. */
  void add(long order, OwnedRange range, boolean grant) {
    rangesById.put(order, range);
    countsByOwner.merge(owner(range), 1, Integer::sum);
    if (grant) {
      grantTrackers.put(order, List.of(range.ownerGrants()));
    }
  }

  /** Notes that ranges were split, joined or moved, and their clocks with them. */
  void reindexGrants(Stream<OwnedRange> all) {
    grantTrackers.clear();
    all.flatMap(range -> Stream.of(range.ownerGrants(), range.previousOwnerGrants()))
        .forEach(
            clock ->
                clock
                    .inFlightOrderIds()
                    .forEach(
                        order ->
                            grantTrackers
                                .computeIfAbsent(order, id -> new ArrayList<>())
                                .add(clock)));
  }

  /** Returns how many orders that concern keys of an upstream are open. */
  int count(UpstreamIncarnation life) {
    return countsByOwner.getOrDefault(life, 0);
  }

  /** Returns the clocks on which a grant is open, as its range may have been split meanwhile. */
  List<GrantTracker> grantTrackers(long order) {
    return grantTrackers.getOrDefault(order, List.of());
  }

  /** Forgets an order; returns the range it was given for, or empty if it is not open. */
  Optional<OwnedRange> remove(long order) {
    grantTrackers.remove(order);
    Optional<OwnedRange> range = Optional.ofNullable(rangesById.remove(order));
    range.ifPresent(
        known ->
            countsByOwner.computeIfPresent(
                owner(known), (life, count) -> count == 1 ? null : count - 1));
    return range;
  }

  private static UpstreamIncarnation owner(OwnedRange range) {
    return range.assignment().owner().incarnation();
  }
}
