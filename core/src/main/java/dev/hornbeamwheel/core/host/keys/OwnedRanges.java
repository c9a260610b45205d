package dev.hornbeamwheel.core.host.keys;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The ranges of one service, indexed by key; the set is immutable, its ranges are mutable. */
final class OwnedRanges {
  private static final OwnedRanges EMPTY = of(List.of());

  private final List<OwnedRange> ranges;
  private final NavigableMap<Integer, OwnedRange> byFirstKey = new TreeMap<>();

  private OwnedRanges(List<OwnedRange> ranges) {
    this.ranges = ranges;
    ranges.forEach(range -> byFirstKey.put(range.range().first(), range));
  }

  static OwnedRanges empty() {
    return EMPTY;
  }

  /** Returns an index of ranges, which must not overlap. */
  static OwnedRanges of(List<OwnedRange> ranges) {
    return new OwnedRanges(List.copyOf(ranges));
  }

  List<OwnedRange> all() {
    return ranges;
  }

  Stream<OwnedRange> stream() {
    return ranges.stream();
  }

  /** Returns the range that contains a key, or empty if the key has never had an owner. */
  Optional<OwnedRange> find(int key) {
    return Optional.ofNullable(byFirstKey.floorEntry(key))
        .map(entry -> entry.getValue())
        .filter(range -> range.range().contains(key));
  }
}
