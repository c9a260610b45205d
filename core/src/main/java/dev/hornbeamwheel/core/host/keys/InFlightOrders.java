package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The orders of one service that are in flight, by order id and by owner. */
final class InFlightOrders {
  private final Map<Long, OwnedRange> rangesById = new HashMap<>();
  private final Map<Long, List<GrantTracker>> grantTrackers = new HashMap<>();
  private final Map<UpstreamIncarnation, Integer> countsByOwner = new HashMap<>();
  private long nextOrderId = 1;

  /**
   * Adds a new order for a range.
   *
   * @param tracker the tracker that has the grant in flight; empty if the order is a release
   * @return the id of the order
   */
  long start(OwnedRange range, Optional<GrantTracker> tracker) {
    long orderId = nextOrderId++;
    add(orderId, range, tracker);
    range.orderSent(orderId);
    return orderId;
  }

  /**
   * Adds an order.
   *
   * @param tracker the tracker that has the grant in flight; empty if the order is a release
   */
  void add(long orderId, OwnedRange range, Optional<GrantTracker> tracker) {
    rangesById.put(orderId, range);
    countsByOwner.merge(owner(range), 1, Integer::sum);
    tracker.ifPresent(grants -> grantTrackers.put(orderId, List.of(grants)));
  }

  /** Rebuilds the index of trackers after ranges were split, merged or moved. */
  void reindexGrants(Stream<OwnedRange> ranges) {
    grantTrackers.clear();
    ranges
        .flatMap(range -> Stream.of(range.ownerGrants(), range.previousOwnerGrants()))
        .forEach(
            tracker ->
                tracker
                    .inFlightOrderIds()
                    .forEach(
                        orderId ->
                            grantTrackers
                                .computeIfAbsent(orderId, id -> new ArrayList<>())
                                .add(tracker)));
  }

  /** Returns how many orders are in flight for ranges that are assigned to an upstream. */
  int count(UpstreamIncarnation incarnation) {
    return countsByOwner.getOrDefault(incarnation, 0);
  }

  /**
   * Returns the trackers that have a grant in flight.
   *
   * <p>There are several if its range has been split, and none if the order is a release.
   */
  List<GrantTracker> grantTrackers(long orderId) {
    return grantTrackers.getOrDefault(orderId, List.of());
  }

  /** Removes an order; returns its range, or empty if the order is not in flight. */
  Optional<OwnedRange> remove(long orderId) {
    grantTrackers.remove(orderId);
    Optional<OwnedRange> range = Optional.ofNullable(rangesById.remove(orderId));
    range.ifPresent(
        removed ->
            countsByOwner.computeIfPresent(
                owner(removed), (incarnation, count) -> count == 1 ? null : count - 1));
    return range;
  }

  private static UpstreamIncarnation owner(OwnedRange range) {
    return range.assignment().owner().incarnation();
  }
}
