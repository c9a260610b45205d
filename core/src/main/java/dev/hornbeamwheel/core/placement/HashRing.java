package dev.hornbeamwheel.core.placement;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** A hash ring on which each eligible upstream has points in proportion to its capacity. */
final class HashRing {
  /** Points of an upstream with mean capacity. */
  private static final int POINTS_PER_UPSTREAM = 128;

  private final TreeMap<Long, Integer> points = new TreeMap<>();

  HashRing(List<PlacementView.Target> targets) {
    double mean = targets.stream().mapToDouble(PlacementView.Target::capacity).average().orElse(1);
    IntStream.range(0, targets.size()).forEach(index -> add(index, targets.get(index), mean));
  }

  private void add(int index, PlacementView.Target target, double mean) {
    long hash = Rendezvous.hash(target.upstream().value());
    long count = Math.max(1, Math.round(POINTS_PER_UPSTREAM * target.capacity() / mean));
    for (long point = 1; point <= count; point++) {
      points.put(Rendezvous.weight(hash, point), index);
    }
  }

  /** Returns the index of the upstream at or after a hash on the ring. */
  int ownerOf(long hash) {
    Map.Entry<Long, Integer> next = points.ceilingEntry(hash);
    return (next == null ? points.firstEntry() : next).getValue();
  }

  /**
   * Returns the index of the first upstream at or after a hash that is not full, or of the first
   * one if all are full.
   */
  int firstNotFull(long hash, boolean[] full) {
    for (int index : points.tailMap(hash).values()) {
      if (!full[index]) {
        return index;
      }
    }
    for (int index : points.headMap(hash).values()) {
      if (!full[index]) {
        return index;
      }
    }
    return ownerOf(hash);
  }
}
