package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamLife;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The orders of one service that have no answer yet, by number and by upstream. */
final class OpenOrders {
  private final Map<Long, OwnedRange> ranges = new HashMap<>();
  private final Map<Long, List<GrantClock>> clocks = new HashMap<>();
  private final Map<UpstreamLife, Integer> counts = new HashMap<>();

  /** Adds an order; a grant counts on the clock of the range's owner. */
  void add(long order, OwnedRange range, boolean grant) {
    ranges.put(order, range);
    counts.merge(owner(range), 1, Integer::sum);
    if (grant) {
      clocks.put(order, List.of(range.owner()));
    }
  }

  /** Notes that ranges were split, joined or moved, and their clocks with them. */
  void follow(Stream<OwnedRange> all) {
    clocks.clear();
    all.flatMap(range -> Stream.of(range.owner(), range.previous()))
        .forEach(
            clock ->
                clock
                    .openOrders()
                    .forEach(
                        order ->
                            clocks.computeIfAbsent(order, id -> new ArrayList<>()).add(clock)));
  }

  /** Returns how many orders that concern keys of an upstream are open. */
  int at(UpstreamLife life) {
    return counts.getOrDefault(life, 0);
  }

  /** Returns the clocks on which a grant is open, as its range may have been split meanwhile. */
  List<GrantClock> clocks(long order) {
    return clocks.getOrDefault(order, List.of());
  }

  /** Forgets an order; returns the range it was given for, or empty if it is not open. */
  Optional<OwnedRange> remove(long order) {
    clocks.remove(order);
    Optional<OwnedRange> range = Optional.ofNullable(ranges.remove(order));
    range.ifPresent(
        known ->
            counts.computeIfPresent(owner(known), (life, count) -> count == 1 ? null : count - 1));
    return range;
  }

  private static UpstreamLife owner(OwnedRange range) {
    return range.assignment().owner().life();
  }
}
